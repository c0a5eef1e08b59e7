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
 * Raises the cluster version during a leadership term, once every configured controller has
 * reported that it supports the new version. The record is written in a transaction of the leader,
 * so a former leader cannot write it.
 */
public final class VersionRaiser {
  private static final Duration REVIEW_INTERVAL = Duration.ofMillis(500);

  private final ClusterVersion clusterVersion;
  private final Supplier<List<Membership.PeerStatus>> peers;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> mutationSink;
  private final BooleanSupplier isLeading;
  private final Runnable onRaised;

  /**
   * Creates a raiser for one term; {@link #raiseWhenSupported} starts it.
   *
   * @param peers the configured peers with the version that each has reported to support
   * @param mutationSink commits the mutation of the record
   * @param isLeading whether the term has not ended
   * @param onRaised called when the new version is stored
   */
  public VersionRaiser(
      ClusterVersion clusterVersion,
      Supplier<List<Membership.PeerStatus>> peers,
      EventLoop eventLoop,
      Consumer<Mutation> mutationSink,
      BooleanSupplier isLeading,
      Runnable onRaised) {
    this.clusterVersion = clusterVersion;
    this.peers = peers;
    this.eventLoop = eventLoop;
    this.mutationSink = mutationSink;
    this.isLeading = isLeading;
    this.onRaised = onRaised;
  }

  /**
   * Compares the version with those that the peers support, now and every {@link #REVIEW_INTERVAL},
   * until the version is raised or the term has ended.
   */
  public void raiseWhenSupported() {
    if (!isLeading.getAsBoolean() || clusterVersion.inForce() >= clusterVersion.supported()) {
      return;
    }
    if (!isSupportedByAllPeers()) {
      eventLoop.schedule(REVIEW_INTERVAL, this::raiseWhenSupported);
      return;
    }
    mutationSink.accept(
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
