import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An operator creates a subscription under a wrong name, deletes it and creates it under the right one.
 * The transaction that stored the first is carried out once more; later the leader ends.
 */
public final class LateCreation {
  private LateCreation() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (Record record = new Record(Path.of(args[0]));
        Cluster cluster = new Cluster(record)) {
      cluster.endAfter(119);
      code = run(record, cluster, trouble);
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().halt(code);
  }

  private static int admin(Record record, Cluster cluster, int leader, String method, String path, String body)
      throws IOException, InterruptedException {
    HttpResponse<String> response = cluster.client.send(
        HttpRequest.newBuilder(URI.create(
                "http://127.0.0.1:" + cluster.clusterPorts.get(leader) + "/admin/v1/" + path))
            .timeout(Duration.ofSeconds(8))
            .method(method, body == null
                ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
    record.say(method + " " + path + ": " + response.statusCode() + " " + response.body());
    return response.statusCode();
  }

  private static int run(Record record, Cluster cluster, boolean trouble) throws Exception {
    StateService state = new StateService(200, 60, 12, 8, 3, cluster.timer);
    Load load = new Load(cluster, record);
    Fleet fleet = new Fleet(
        List.of(new Fleet.Hull("erable16", 16, 2, 128, 45, List.of("laval", "levis"))), 5, 22, load, record,
        cluster.threads, cluster.timer);
    cluster.serve(state, fleet, 3);
    cluster.deliver();
    fleet.addRunning("erable16", "laval", 5);
    AtomicInteger received = new AtomicInteger();
    HttpServer receiver = Http.serve(0, cluster.threads, exchange -> {
      String event = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      received.incrementAndGet();
      record.say("received: " + event);
      Http.answer(exchange, 200, "{}".getBytes(StandardCharsets.UTF_8));
    });
    cluster.start(List.of("laval", "levis", "laval"), Sites.LAVAL);
    int leader = cluster.awaitLeader(state, 20);
    if (leader < 0) {
      record.say("no leader");
      return 2;
    }
    Thread.sleep(4000);
    admin(record, cluster, leader, "PUT", "networks", "{\"networks\":[\"127.0.0.1\"]}");
    if (trouble) {
      state.holdNext("conf/subscription/");
    }
    double start = record.seconds();
    String body = "{\"url\":\"http://127.0.0.1:" + Http.port(receiver)
        + "/\",\"secrets\":[\"whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSwAAAAAAAAAAA=\"]}";
    admin(record, cluster, leader, "PUT", "subscriptions/dsek", body);
    Thread.sleep(2500);
    if (admin(record, cluster, leader, "DELETE", "subscriptions/dsek", null) != 200
        || admin(record, cluster, leader, "PUT", "subscriptions/desk", body) != 201
        || record.seconds() > start + 9) {
      return 2;
    }
    admin(record, cluster, leader, "GET", "subscriptions", null);
    Thread.sleep(12_000);
    record.say("status of the late transaction: " + state.lateStatus);
    cluster.processes.get(leader).destroyForcibly();
    record.say("killed rung-" + leader);
    Thread.sleep(8000);
    cluster.restart(leader);
    Thread.sleep(4000);
    leader = cluster.awaitLeader(state, 20);
    admin(record, cluster, leader, "GET", "subscriptions", null);
    load.submit(
        Load.job("req-000001", "faceenrol", "accueil", "array", "standard", 1, 6, 1, 48, "img-01", 2), 2_000);
    Thread.sleep(20_000);
    record.say("notifications of one final answer: " + received);
    return received.get() == 1 ? 0 : received.get() > 1 ? 1 : 2;
  }
}
