package io.pineladder.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the recent direct starts with a plain list of all starts. */
class DirectStartsTest {
  private record Start(String attemptKey, Instant at) {}

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void onlyOldOrSurplusStartsMayBeForgotten(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    DirectStarts directStarts = new DirectStarts();
    List<Start> model = new ArrayList<>();
    Instant now = Instant.EPOCH;
    for (int step = 0; step < 3_000; step++) {
      now = now.plusMillis(random.nextInt(step < 1_500 ? 2_000 : 4_000));
      String key = "req-000001/" + random.nextInt(200) + "#1";
      if (random.nextInt(3) > 0) {
        directStarts.record(key, now);
        model.removeIf(start -> start.attemptKey.equals(key));
        model.add(new Start(key, now));
        if (model.size() > DirectStarts.MAX_ATTEMPTS) {
          model.remove(0);
        }
      }
      Instant current = now;
      model.removeIf(start -> start.at.plus(DirectStarts.MAX_COPY_DELAY).isBefore(current));
      boolean recent = model.stream().anyMatch(start -> start.attemptKey.equals(key));
      assertEquals(!recent, directStarts.mayForget(key, now), key);
    }
  }
}
