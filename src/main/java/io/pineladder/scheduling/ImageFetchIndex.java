package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * An index of attempts that are fetching images, by image; ordered by when the image should be
 * ready, latest first.
 */
final class ImageFetchIndex {
  private static final Comparator<Attempt> LATEST_IMAGE_FIRST =
      Comparator.<Attempt, Instant>comparing(attempt -> attempt.imageReadyAt)
          .reversed()
          .thenComparing(attempt -> attempt.key);

  private final Map<String, NavigableSet<Attempt>> fetchingByImage = new HashMap<>();

  /** The attempts that are fetching this image on any machine. */
  Collection<Attempt> fetchingAttempts(String image) {
    NavigableSet<Attempt> attempts = fetchingByImage.get(image);
    return attempts == null ? List.of() : attempts;
  }

  /** Updates the index after a state change of the attempt. */
  void onTransition(Attempt attempt, Attempt.State before, Attempt.State next) {
    String image = attempt.job.spec.image();
    if (next == Attempt.State.FETCHING_IMAGE) {
      fetchingByImage.computeIfAbsent(image, i -> new TreeSet<>(LATEST_IMAGE_FIRST)).add(attempt);
    } else if (before == Attempt.State.FETCHING_IMAGE) {
      Set<Attempt> attempts = fetchingByImage.get(image);
      if (attempts != null && attempts.remove(attempt) && attempts.isEmpty()) {
        fetchingByImage.remove(image);
      }
    }
  }

  /** Forgets all attempts. */
  void clear() {
    fetchingByImage.clear();
  }
}
