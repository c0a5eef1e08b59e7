package io.pineladder.upgrade;

import io.pineladder.membership.Membership;
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
 * shown software that supports it. The record is written in a transaction of the leader, so no
 * older leader writes it late.
 */
public final class VersionRaiser {
  private static final Duration REVIEW = Duration.ofMillis(500);

  private final ClusterVersion version;
  private final Supplier<List<Membership.View>> peers;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final BooleanSupplier leading;
  private final Runnable onRaised;

  /**
   * A raiser for one term.
   *
   * @param onRaised called when the record is stored
   */
  public VersionRaiser(
      ClusterVersion version,
      Supplier<List<Membership.View>> peers,
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      BooleanSupplier leading,
      Runnable onRaised) {
    this.version = version;
    this.peers = peers;
    this.eventLoop = eventLoop;
    this.commit = commit;
    this.leading = leading;
    this.onRaised = onRaised;
  }

  /**
   * Looks at the members now and from time to time, until the version is raised or the term is
   * over.
   */
  public void review() {
    if (!leading.getAsBoolean() || version.inForce() >= version.supported()) {
      return;
    }
    if (!allSupportIt()) {
      eventLoop.schedule(REVIEW, this::review);
      return;
    }
    commit.accept(
        Mutation.of(
            Mutation.Priority.ACCEPT,
            List.of(
                new Mutation.Write(
                    RecordKeys.VERSION, () -> RecordWire.version(version.supported()))),
            this::raised));
  }

  private boolean allSupportIt() {
    return peers.get().stream().allMatch(peer -> peer.version() >= version.supported());
  }

  private void raised() {
    version.raise(version.supported());
    onRaised.run();
  }
}
