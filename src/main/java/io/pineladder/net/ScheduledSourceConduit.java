package io.pineladder.net;

import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The reading side of an accepted connection, which is read only when the {@link InboundScheduler}
 * has time for it. Event thread only.
 */
final class ScheduledSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit>
    implements ReadReadyHandler, InboundScheduler.Connection {
  private final StreamConnection connection;
  private final ConnectionLimiter.Socket socket;
  private final InboundScheduler scheduler;
  private ReadReadyHandler handler;

  /** Whether the connection's reader wants to be called when there is data. */
  private boolean resumed;

  private boolean paused;

  private ScheduledSourceConduit(
      StreamConnection connection,
      StreamSourceConduit next,
      ConnectionLimiter.Socket socket,
      InboundScheduler scheduler) {
    super(next);
    this.connection = connection;
    this.socket = socket;
    this.scheduler = scheduler;
  }

  /** Lets the scheduler decide when a connection is read; called before its first read. */
  static void install(
      StreamConnection connection, ConnectionLimiter.Socket socket, InboundScheduler scheduler) {
    ConduitStreamSourceChannel channel = connection.getSourceChannel();
    ScheduledSourceConduit conduit =
        new ScheduledSourceConduit(connection, channel.getConduit(), socket, scheduler);
    conduit.setReadReadyHandler(
        new ReadReadyHandler.ChannelListenerHandler<ConduitStreamSourceChannel>(channel));
    channel.setConduit(conduit);
  }

  // ---- called by the connection's reader

  @Override
  public void setReadReadyHandler(ReadReadyHandler next) {
    handler = next;
    this.next.setReadReadyHandler(this);
  }

  @Override
  public void resumeReads() {
    resumed = true;
    if (!paused) {
      next.resumeReads();
    }
  }

  @Override
  public void suspendReads() {
    resumed = false;
    next.suspendReads();
  }

  @Override
  public void wakeupReads() {
    resumed = true;
    next.wakeupReads();
  }

  @Override
  public boolean isReadResumed() {
    return resumed;
  }

  // ---- called by the event loop

  @Override
  public void readReady() {
    if (!paused) {
      scheduler.onReady(this);
    }
  }

  @Override
  public void forceTermination() {
    handler.forceTermination();
  }

  @Override
  public void terminated() {
    handler.terminated();
  }

  // ---- called by the scheduler

  @Override
  public ConnectionLimiter.TrafficClass trafficClass() {
    return socket.trafficClass();
  }

  @Override
  public void pause() {
    paused = true;
    socket.markReadable();
    next.suspendReads();
  }

  @Override
  public void serve() {
    if (paused) {
      paused = false;
      socket.markRead();
      if (!connection.isOpen() || !resumed) {
        return;
      }
      next.resumeReads();
    }
    handler.readReady();
  }

  @Override
  public void discard() {
    paused = false;
    IoUtils.safeClose(connection);
  }
}
