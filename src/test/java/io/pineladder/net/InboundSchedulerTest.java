package io.pineladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.net.ConnectionLimiter.TrafficClass;
import io.pineladder.net.InboundScheduler.Lane;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the scheduler with random connections and timers, and checks its guarantees. */
class InboundSchedulerTest {
  private static final Duration MAX_TIME_PER_REQUEST = Duration.ofMillis(12);

  private static final TrafficClass[] CLASSES = {
    TrafficClass.ARRIVING, TrafficClass.USERS, TrafficClass.REPORTS
  };

  private final Loop loop = new Loop();
  private final InboundScheduler scheduler = new InboundScheduler(loop, () -> loop.nanos);
  private final List<FakeConnection> served = new ArrayList<>();
  private final List<FakeConnection> discarded = new ArrayList<>();

  /** An event loop that runs the timers of the scheduler when the test says so. */
  private static final class Loop implements EventLoop {
    private final Deque<Runnable> timers = new ArrayDeque<>();
    private long nanos;

    @Override
    public Instant now() {
      return Instant.EPOCH.plusNanos(nanos);
    }

    @Override
    public Instant wallClock() {
      return now();
    }

    @Override
    public RandomGenerator random() {
      return new SplittableRandom(1);
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
      timers.add(action);
    }
  }

  private final class FakeConnection implements InboundScheduler.Connection {
    private final TrafficClass trafficClass;
    private final Duration timeToServe;
    private final long readableAt = loop.nanos;
    private boolean paused;

    FakeConnection(TrafficClass trafficClass, Duration timeToServe) {
      this.trafficClass = trafficClass;
      this.timeToServe = timeToServe;
    }

    @Override
    public TrafficClass trafficClass() {
      return trafficClass;
    }

    @Override
    public void serve() {
      served.add(this);
      loop.nanos += timeToServe.toNanos();
    }

    @Override
    public void pause() {
      paused = true;
    }

    @Override
    public void discard() {
      discarded.add(this);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void timersAreNeverDelayedByMoreThanTheSlices(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<FakeConnection> readable = new ArrayList<>();
    Duration bound =
        InboundScheduler.TIME_SLICE.plus(MAX_TIME_PER_REQUEST).multipliedBy(Lane.values().length);
    for (int pass = 0; pass < 400; pass++) {
      long passBegan = loop.nanos;
      int burst = random.nextInt(random.nextInt(4) == 0 ? 500 : 3);
      for (int i = 0; i < burst; i++) {
        FakeConnection connection =
            new FakeConnection(
                CLASSES[random.nextInt(CLASSES.length)],
                Duration.ofNanos(random.nextLong(MAX_TIME_PER_REQUEST.toNanos())));
        readable.add(connection);
        scheduler.onReady(connection);
      }
      assertTrue(loop.nanos - passBegan <= bound.toNanos(), "a pass should be within " + bound);
      runTimers(bound);
    }
    while (!loop.timers.isEmpty()) {
      runTimers(bound);
    }
    checkOutcomes(readable);
  }

  private void runTimers(Duration bound) {
    long began = loop.nanos;
    scheduler.onTimer();
    int due = loop.timers.size();
    for (int i = 0; i < due; i++) {
      loop.timers.poll().run();
    }
    assertTrue(loop.nanos - began <= bound.toNanos(), "timers should be within " + bound);
  }

  /** Each connection is served or discarded once, in the order of arrival within its lane. */
  private void checkOutcomes(List<FakeConnection> readable) {
    assertEquals(readable.size(), served.size() + discarded.size());
    for (Lane lane : Lane.values()) {
      List<FakeConnection> expected = ofLane(lane, readable);
      expected.removeAll(discarded);
      assertEquals(expected, ofLane(lane, served));
      assertEquals(ofLane(lane, discarded).size(), scheduler.usage(lane).discarded());
      assertEquals(0, scheduler.usage(lane).waiting());
      assertEquals(
          ofLane(lane, readable).stream().filter(c -> c.paused).count(),
          scheduler.usage(lane).delayed());
    }
    assertTrue(discarded.stream().allMatch(c -> c.paused), "only waiting ones are discarded");
    assertTrue(!discarded.isEmpty(), "the bursts should exceed the waiting time");
    assertTrue(served.stream().allMatch(c -> c.readableAt <= loop.nanos), "served in time");
  }

  private static List<FakeConnection> ofLane(Lane lane, List<FakeConnection> connections) {
    List<FakeConnection> ofLane = new ArrayList<>(connections);
    ofLane.removeIf(connection -> Lane.of(connection.trafficClass) != lane);
    return ofLane;
  }
}
