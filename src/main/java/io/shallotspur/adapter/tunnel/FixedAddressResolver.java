package io.shallotspur.adapter.tunnel;

import java.net.InetSocketAddress;
import java.util.List;

import io.netty.resolver.AbstractAddressResolver;
import io.netty.resolver.AddressResolver;
import io.netty.resolver.AddressResolverGroup;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Promise;

/**
 * Resolves every address to that of a VM, so that a request that names a worker is
 * connected to the VM that tunnels it. Immutable.
 */
final class FixedAddressResolver extends AddressResolverGroup<InetSocketAddress> {

	private final InetSocketAddress address;

	FixedAddressResolver(InetSocketAddress address) {
		this.address = address;
	}

	@Override
	protected AddressResolver<InetSocketAddress> newResolver(EventExecutor executor) {
		return new AbstractAddressResolver<>(executor, InetSocketAddress.class) {

			@Override
			protected boolean doIsResolved(InetSocketAddress ignored) {
				return false;
			}

			@Override
			protected void doResolve(InetSocketAddress ignored, Promise<InetSocketAddress> promise) {
				promise.setSuccess(FixedAddressResolver.this.address);
			}

			@Override
			protected void doResolveAll(InetSocketAddress ignored, Promise<List<InetSocketAddress>> promise) {
				promise.setSuccess(List.of(FixedAddressResolver.this.address));
			}

		};
	}

}
