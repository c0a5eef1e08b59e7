package io.pineladder.upgrade;

import io.pineladder.membership.Membership;
import io.pineladder.model.ClusterVersion;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Raises the cluster version while this controller leads, once every configured controller has
 * shown software that supports it. The record is written in a transaction of the leader, so that no
 * older leader writes it late.
 */
public final class VersionRaiser {
  private static final Duration REVIEW_INTERVAL = Duration.ofMillis(500);

  private final ClusterVersion clusterVersion;
  private final Supplier<List<Membership.PeerStatus>> peers;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> transactions;
  private final BooleanSupplier isLeading;
  private final Runnable onRaised;

  /**
   * A raiser for one term.
   *
   * @param peers the configured peers with the version that each has shown to support
   * @param transactions takes the change of the record
   * @param isLeading whether the term goes on
   * @param onRaised called when the record is stored
   */
  public VersionRaiser(
      ClusterVersion clusterVersion,
      Supplier<List<Membership.PeerStatus>> peers,
      EventLoop eventLoop,
      Consumer<Mutation> transactions,
      BooleanSupplier isLeading,
      Runnable onRaised) {
    this.clusterVersion = clusterVersion;
    this.peers = peers;
    this.eventLoop = eventLoop;
    this.transactions = transactions;
    this.isLeading = isLeading;
    this.onRaised = onRaised;
  }

  /**
   * Compares the version with what the peers support, now and every {@link #REVIEW_INTERVAL}, until
   * the version is raised or the term has ended.
   */
  public void review() {
    if (!isLeading.getAsBoolean() || clusterVersion.inForce() >= clusterVersion.supported()) {
      return;
    }
    if (!isSupportedByAllPeers()) {
      eventLoop.schedule(REVIEW_INTERVAL, this::review);
      return;
    }
    transactions.accept(
        Mutation.of(
            Mutation.Priority.ACCEPTANCE,
            List.of(
                new Mutation.Write(
                    RecordKeys.CLUSTER_VERSION,
                    () -> RecordWire.version(clusterVersion.supported()))),
            this::onStored));
  }

  private boolean isSupportedByAllPeers() {
    return peers.get().stream().allMatch(peer -> peer.version() >= clusterVersion.supported());
  }

  private void onStored() {
    clusterVersion.raiseTo(clusterVersion.supported());
    onRaised.run();
  }
}
