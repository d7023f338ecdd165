package io.shallotspur.node.cluster;

import java.util.List;

import io.shallotspur.locate.CellLoad;
import io.shallotspur.port.PeerMessage;

/**
 * Messages of {@link ClusterService} itself. All are immutable; type numbers 10 to 19.
 */
public sealed interface ClusterNotice extends PeerMessage {

	/**
	 * Loads of cells: those of the sender and the latest it has heard of.
	 *
	 * @param loads the loads
	 */
	record Loads(List<CellLoad> loads) implements ClusterNotice {

		public Loads {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * VMs that the VM list marks as leaving, passed on by those to whom it is news.
	 *
	 * @param ids their names, workers among them
	 */
	record Marks(List<String> ids) implements ClusterNotice {

		public Marks {
			ids = List.copyOf(ids);
		}

	}

}
