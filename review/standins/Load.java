import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Users: they submit jobs, repeat until they are answered, and poll. */
final class Load implements Fleet.Jobs {
  private static final ObjectMapper JSON = new ObjectMapper();

  final Map<String, ObjectNode> specs = new ConcurrentHashMap<>();
  final Map<String, Long> runMillis = new ConcurrentHashMap<>();
  /** When each job was accepted, in seconds. */
  final Map<String, Double> accepted = new ConcurrentHashMap<>();
  /** The last status that a user was told. */
  final Map<String, String> told = new ConcurrentHashMap<>();
  final AtomicInteger givenUp = new AtomicInteger();
  private final Cluster cluster;
  private final Record record;
  private final AtomicInteger nextNode = new AtomicInteger();

  Load(Cluster cluster, Record record) {
    this.cluster = cluster;
    this.record = record;
  }

  @Override
  public JsonNode spec(String ref) {
    return specs.get(ref);
  }

  @Override
  public long runMillis(String ref) {
    return runMillis.get(ref);
  }

  /** A job of independent tasks, or a service. */
  static ObjectNode job(
      String ref, String jobClass, String owner, String shape, String rank, int pieces, double vcpus, double cards,
      double memoryGb, String bundle, double guessSeconds) {
    ObjectNode out = JSON.createObjectNode().put("ref", ref).put("jobclass", jobClass).put("owner", owner)
        .put("shape", shape).put("rank", rank).put("pieces", pieces).put("vcpus", vcpus).put("cards", cards)
        .put("memory_gb", memoryGb).put("bundle", bundle).put("image_gb", 0.5);
    out.putNull("hulls");
    out.putNull("yard");
    out.put("together", false).put("spread", false).put("loaners", false).put("guess_s", guessSeconds)
        .put("mark_every_s", 0.0).put("stow_s", 0.0);
    out.putNull("due_s");
    return out;
  }

  /** Submits a job, with the retries of the protocol; returns whether it was accepted. */
  boolean submit(ObjectNode spec, long millis) throws InterruptedException {
    String ref = spec.get("ref").asText();
    specs.put(ref, spec);
    runMillis.put(ref, millis);
    double until = record.seconds() + 60;
    while (record.seconds() < until) {
      int node = Math.floorMod(nextNode.getAndIncrement(), cluster.fronts.size());
      record.line("submit " + ref + " to rung-" + node);
      HttpResponse<String> answer = cluster.request(node, "POST", "/v1/jobs", spec.toString(), 5);
      record.line("answer " + ref + " " + (answer == null ? "none" : answer.statusCode()));
      if (answer != null && answer.statusCode() / 100 == 2) {
        accepted.put(ref, record.seconds());
        return true;
      }
      if (answer != null && (answer.statusCode() == 400 || answer.statusCode() == 422)) {
        record.say("refused " + ref + " " + answer.body());
        return false;
      }
      Thread.sleep(1000);
    }
    givenUp.incrementAndGet();
    return false;
  }
}
