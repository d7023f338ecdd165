package io.shallotspur.route;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link RouteTable}.
 */
class RouteTableTests {

	private final RouteTable table = new RouteTable(1,
			List.of(route("short", "/a/"), route("long", "/a/b/"), route("root", "/z/")), List.of(),
			IngressLimits.DEFAULT);

	private static Route route(String name, String prefix) {
		return new Route(name, "shop.example", prefix, RouteKind.SAFE, List.of(new RouteTarget("up", 1)), 800, 300, 0,
				0, 1, false, false, false);
	}

	private String find(String host, String path) {
		return this.table.findRoute(host, path).map(Route::name).orElse("none");
	}

	@Test
	void selectsTheLongestMatchingPrefix() {
		Assertions.assertThat(find("shop.example", "/a/b/c")).isEqualTo("long");
		Assertions.assertThat(find("shop.example", "/a/c")).isEqualTo("short");
		Assertions.assertThat(find("shop.example", "/a/b")).isEqualTo("short");
	}

	@Test
	void ignoresHostPortAndCase() {
		Assertions.assertThat(find("Shop.Example:8080", "/z/")).isEqualTo("root");
	}

	@Test
	void returnsEmptyForUnknownHostsAndPaths() {
		Assertions.assertThat(find("other.example", "/a/")).isEqualTo("none");
		Assertions.assertThat(find("shop.example", "/ab/")).isEqualTo("none");
	}

	@Test
	void splitsTrafficByWeight() {
		Route r = new Route("r", "h", "/", RouteKind.SAFE, List.of(new RouteTarget("a", 90), new RouteTarget("b", 10)),
				1, 1, 0, 0, 1, false, false, false);
		Assertions.assertThat(r.chooseUpstream(0.89)).isEqualTo("a");
		Assertions.assertThat(r.chooseUpstream(0.91)).isEqualTo("b");
	}

}
