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
   * Guards against halting the process when the loop is stopped while an action, such as the socket
   * sweep, schedules its next timer.
   */
  @Test
  @Timeout(30)
  void doesNotHaltWhenTimerIsRejectedDuringStop() throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(100, Duration.ofSeconds(1));
    CountDownLatch running = new CountDownLatch(1);
    CountDownLatch stopped = new CountDownLatch(1);
    CompletableFuture<RejectedExecutionException> rejection = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          running.countDown();
          awaitUninterruptibly(stopped);
          RejectedExecutionException rejected =
              assertThrows(
                  RejectedExecutionException.class,
                  () -> eventLoop.schedule(Duration.ofSeconds(1), () -> {}));
          rejection.complete(rejected);
          throw rejected;
        });
    assertTrue(running.await(10, TimeUnit.SECONDS), "the action should be running");
    eventLoop.stop();
    stopped.countDown();
    rejection.get(10, TimeUnit.SECONDS);
    eventLoop.thread().join(10_000);
    assertTrue(!eventLoop.thread().isAlive(), "the event thread should end");
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
