package io.pineladder.net;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class XnioEventLoopTest {
  /**
   * Seen in a test run on a busy machine: the event loop of a cluster on loopback was stopped while
   * its sweep of idle sockets ran, the sweep's next timer was refused, and that ended the process.
   */
  @Test
  @Timeout(30)
  void anActionThatRunsWhileTheLoopIsStoppedDoesNotEndTheProcess() throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(100, Duration.ofSeconds(1));
    CountDownLatch running = new CountDownLatch(1);
    CountDownLatch stopped = new CountDownLatch(1);
    CompletableFuture<RejectedExecutionException> refusal = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          running.countDown();
          awaitUninterruptibly(stopped);
          RejectedExecutionException rejected =
              assertThrows(
                  RejectedExecutionException.class,
                  () -> eventLoop.schedule(Duration.ofSeconds(1), () -> {}));
          refusal.complete(rejected);
          throw rejected;
        });
    assertTrue(running.await(10, TimeUnit.SECONDS), "the action runs");
    eventLoop.stop();
    stopped.countDown();
    refusal.get(10, TimeUnit.SECONDS);
    eventLoop.thread().join(10_000);
    assertTrue(!eventLoop.thread().isAlive(), "the event thread ends by itself");
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    boolean interrupted = false;
    while (true) {
      try {
        latch.await();
        break;
      } catch (InterruptedException e) {
        interrupted = true;
      }
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
