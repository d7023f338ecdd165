package io.shallotspur.port;

/**
 * A message between entry VMs. Implementations are immutable records whose fields
 * MessagePack can carry; each has one type number, registered where the peer adapter is
 * built. Ranges of type numbers: membership 1 to 19, contracts 20 to 39, forwarded
 * requests 40 to 59, ledger 60 to 79, quarantine 80 to 89, shares 90 to 99, origins of
 * streams 100 to 109.
 */
public interface PeerMessage {

}
