package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a name that is valid as a value, but not read back as a field name. */
class ImageNameTest extends SimulatedCluster {
  @ParameterizedTest
  @ValueSource(strings = {"\ud800", "img-\udc00", "\udc00\ud800", "\ud83d\ude00", "\u0000\uffff"})
  void imageOfAnyNameNeverKeepsNextLeaderFromServing(String image) {
    begin(1);
    world.runFor(Duration.ofSeconds(4));
    submit(jobSpec("array", 2, "blue").put("bundle", image));
    submit(jobSpec("service", 1, "red").put("bundle", image));
    world.runFor(Duration.ofSeconds(60));
    kill(controllers.get(leaderIndex()), 6_000);
    world.runFor(Duration.ofSeconds(15));
    assertTrue(
        controllers.stream().anyMatch(c -> c.alive[0] && c.node.leadingTerm() != null),
        "no leader 15 s after the kill");
    submit(randomJobSpec());
    settle(Duration.ofSeconds(90));
  }
}
