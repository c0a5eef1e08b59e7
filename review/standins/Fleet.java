import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** The cloud, and the workers on its machines, as the protocol describes them. */
final class Fleet {
  /** A machine type. */
  record Hull(String sku, double vcpus, double cards, double memoryGb, double bootSeconds, List<String> yards) {}

  /** Tells how long a task of a job runs in milliseconds; a negative number means until it is stopped. */
  interface Jobs {
    JsonNode spec(String ref);

    long runMillis(String ref);
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long FETCH_MILLIS = 300;

  private final Map<String, Hull> hulls = new LinkedHashMap<>();
  private final TreeMap<String, Worker> machines = new TreeMap<>();
  private final Map<String, ObjectNode> charters = new LinkedHashMap<>();
  private final double reportSeconds;
  private final double leaseSeconds;
  private final Jobs jobs;
  private final Record record;
  private final ExecutorService threads;
  private final ScheduledExecutorService timer;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
  private List<Integer> fronts = List.of();
  private final java.util.Set<String> started = java.util.concurrent.ConcurrentHashMap.newKeySet();
  private int lastNumber;
  private int capacity = Integer.MAX_VALUE;
  private volatile boolean closed;

  Fleet(
      List<Hull> types, double reportSeconds, double leaseSeconds, Jobs jobs, Record record,
      ExecutorService threads, ScheduledExecutorService timer) {
    types.forEach(hull -> hulls.put(hull.sku, hull));
    this.reportSeconds = reportSeconds;
    this.leaseSeconds = leaseSeconds;
    this.jobs = jobs;
    this.record = record;
    this.threads = threads;
    this.timer = timer;
  }

  void setFronts(List<Integer> ports) {
    fronts = ports;
  }

  /** How many machines the cloud has at most. */
  synchronized void setCapacity(int count) {
    capacity = count;
  }

  void close() {
    closed = true;
  }

  /** Machines that are up from the start. */
  synchronized void addRunning(String sku, String yard, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      create(hulls.get(sku), yard, false).boot();
    }
  }

  private Worker create(Hull hull, String yard, boolean loaners) {
    Worker worker = new Worker(String.format("m-%06d", ++lastNumber), hull, yard, loaners);
    machines.put(worker.name, worker);
    return worker;
  }

  /** How many of these jobs were started on any machine so far. */
  int started(List<String> refs) {
    return (int) refs.stream().filter(started::contains).count();
  }

  /** The number of tasks that run now. */
  synchronized int running() {
    int count = 0;
    for (Worker worker : machines.values()) {
      count += worker.running();
    }
    return count;
  }

  void handleCloud(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().toString();
    ObjectNode out = JSON.createObjectNode();
    int status = 200;
    synchronized (this) {
      if (path.equals("/flavors")) {
        ArrayNode list = out.putArray("hulls");
        for (Hull hull : hulls.values()) {
          ObjectNode item = list.addObject().put("sku", hull.sku).put("vcpus", hull.vcpus).put("cards", hull.cards)
              .put("memory_gb", hull.memoryGb).put("local_gb", 200).put("pull_gb_per_s", 1.0).put("hourly", 6.0)
              .put("spot_price", 2.0).put("boot_s", hull.bootSeconds);
          ArrayNode yards = item.putArray("yards");
          hull.yards.forEach(yards::add);
        }
      } else if (path.equals("/rentals/release")) {
        for (JsonNode name : JSON.readTree(body).get("hosts")) {
          Worker worker = machines.remove(name.asText());
          if (worker != null) {
            worker.end();
          }
        }
      } else if (path.equals("/rentals")) {
        JsonNode request = JSON.readTree(body);
        String charter = request.get("charter").asText();
        if (charters.containsKey(charter)) {
          out = charters.get(charter);
        } else {
          int count = Math.min(request.get("count").asInt(), capacity - machines.size());
          if (count <= 0) {
            status = 503;
            out.put("error", "no capacity");
          } else {
            ArrayNode names = out.putArray("hosts");
            for (int i = 0; i < count; i++) {
              Worker worker = create(
                  hulls.get(request.get("hull").asText()), request.get("yard").asText(),
                  request.get("loaners").asBoolean());
              names.add(worker.name);
              timer.schedule(worker::boot, (long) (worker.hull.bootSeconds * 1000), TimeUnit.MILLISECONDS);
            }
            charters.put(charter, out);
          }
        }
      } else {
        Map<String, String> query = Http.query(path);
        ArrayNode list = out.putArray("hosts");
        for (Worker worker : machines.tailMap(query.getOrDefault("since", ""), false).values()) {
          if (list.size() == 500) {
            break;
          }
          list.addObject().put("ref", worker.name).put("addr", worker.address()).put("hull", worker.hull.sku)
              .put("yard", worker.yard).put("loaners", worker.loaners)
              .put("status", worker.up ? "running" : "booting")
              .put("age_s", (System.currentTimeMillis() - worker.createdAt) / 1000.0);
        }
        out.put("truncated", list.size() == 500);
      }
    }
    Http.answer(exchange, status, JSON.writeValueAsBytes(out));
  }

  private static final class Task {
    String piece;
    long attempt;
    String status = "fetching";
    String cause;

    String ref() {
      return piece.substring(0, piece.indexOf('/'));
    }
  }

  /** A machine with its worker. */
  final class Worker {
    final String name;
    final Hull hull;
    final String yard;
    final boolean loaners;
    final long createdAt = System.currentTimeMillis();
    volatile boolean up;
    private boolean ended;
    private HttpServer server;
    private final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
    private long shift = 1;
    private long tally;
    private long baton;
    private int front = ThreadLocalRandom.current().nextInt(1000);
    private long leaseFrom;
    private long reportNumber;
    private boolean inFlight;
    private long lastSentAt;
    private boolean changed;

    Worker(String name, Hull hull, String yard, boolean loaners) {
      this.name = name;
      this.hull = hull;
      this.yard = yard;
      this.loaners = loaners;
    }

    String address() {
      return server == null ? null : "127.0.0.1:" + Http.port(server);
    }

    void boot() {
      synchronized (this) {
        if (ended) {
          return;
        }
        try {
          server = Http.serve(0, threads, this::handle);
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
        up = true;
        leaseFrom = System.currentTimeMillis();
      }
      record.line("machine up " + name);
      report();
      timer.scheduleAtFixedRate(this::checkLease, 200, 200, TimeUnit.MILLISECONDS);
    }

    synchronized void end() {
      ended = true;
      up = false;
      record.line("machine returned " + name + " tasks " + tasks.size());
      tasks.clear();
      if (server != null) {
        HttpServer stopping = server;
        timer.execute(() -> stopping.stop(0));
      }
    }

    synchronized int running() {
      return (int) tasks.values().stream().filter(t -> t.status.equals("running")).count();
    }

    private synchronized void checkLease() {
      long now = System.currentTimeMillis();
      if (!ended && now - leaseFrom > leaseSeconds * 1000) {
        tasks.clear();
        shift++;
        tally = 0;
        leaseFrom = now;
        changed = true;
        record.line("lease ended " + name);
      }
      if (changed && !inFlight && now - lastSentAt >= 500) {
        timer.execute(this::report);
      }
    }

    private ObjectNode state() {
      ObjectNode out = JSON.createObjectNode().put("host", name).put("addr", address()).put("hull", hull.sku)
          .put("yard", yard).put("loaners", loaners).put("shift", shift).put("tally", ++tally).put("baton", baton);
      out.putNull("recall_s");
      ArrayNode pieces = out.putArray("pieces");
      for (Task task : tasks.values()) {
        ObjectNode piece =
            pieces.addObject().put("piece", task.piece).put("try", task.attempt).put("status", task.status);
        if (task.cause != null) {
          piece.put("cause", task.cause);
        }
      }
      return out;
    }

    private void report() {
      long number;
      long sentShift;
      long sentAt = System.currentTimeMillis();
      byte[] body;
      int target;
      synchronized (this) {
        if (ended || closed || fronts.isEmpty() || inFlight) {
          return;
        }
        inFlight = true;
        changed = false;
        number = ++reportNumber;
        sentShift = shift;
        lastSentAt = sentAt;
        target = fronts.get(front % fronts.size());
        try {
          body = JSON.writeValueAsBytes(state());
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
      client.sendAsync(
              HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + target + "/v1/report"))
                  .timeout(Duration.ofSeconds(4)).POST(HttpRequest.BodyPublishers.ofByteArray(body)).build(),
              HttpResponse.BodyHandlers.ofByteArray())
          .whenComplete((response, error) -> onAnswer(number, sentShift, sentAt, response));
    }

    private void onAnswer(long number, long sentShift, long sentAt, HttpResponse<byte[]> response) {
      long next;
      synchronized (this) {
        if (ended || number != reportNumber) {
          return;
        }
        inFlight = false;
        next = 1000;
        try {
          if (response != null && response.statusCode() == 200) {
            JsonNode answer = JSON.readTree(response.body());
            long token = answer.path("baton").asLong(-1);
            if (token >= baton && sentShift == shift) {
              if (token > baton) {
                changed = true;
              }
              baton = token;
              leaseFrom = sentAt;
              execute(answer.path("orders"));
            }
            next = (long) (reportSeconds * 1000 * (0.75 + ThreadLocalRandom.current().nextDouble() / 2));
          } else {
            String foreman = response != null && response.statusCode() == 421
                ? JSON.readTree(response.body()).path("foreman").asText("") : "";
            int named = foreman.startsWith("rung-") ? Integer.parseInt(foreman.substring(5)) : -1;
            if (named >= 0 && named != front % fronts.size()) {
              front = named;
              next = ThreadLocalRandom.current().nextInt(500);
            } else {
              front = front % fronts.size() + 1;
            }
          }
        } catch (IOException e) {
          front = front % fronts.size() + 1;
        }
      }
      timer.schedule(
          () -> {
            boolean due;
            synchronized (this) {
              due = number == reportNumber;
            }
            if (due) {
              report();
            }
          },
          next, TimeUnit.MILLISECONDS);
    }

    private void execute(JsonNode orders) {
      for (JsonNode order : orders) {
        String piece = order.get("piece").asText();
        long attempt = order.get("try").asLong();
        String key = piece + "#" + attempt;
        Task task = tasks.get(key);
        switch (order.get("verb").asText()) {
          case "start" -> {
            if (task == null) {
              start(key, piece, attempt);
            }
          }
          case "kill" -> {
            if (task != null && !task.status.equals("ended")) {
              exit(task, "stopped");
            }
          }
          default -> {
            if (task != null && task.status.equals("ended")) {
              tasks.remove(key);
            }
          }
        }
      }
    }

    private void start(String key, String piece, long attempt) {
      Task task = new Task();
      task.piece = piece;
      task.attempt = attempt;
      tasks.put(key, task);
      changed = true;
      JsonNode spec = jobs.spec(task.ref());
      if (spec == null) {
        exit(task, "unknown");
        return;
      }
      for (Task other : tasks.values()) {
        if (other != task && other.piece.equals(piece) && !other.status.equals("ended")) {
          exit(task, "busy");
          return;
        }
      }
      double vcpus = 0;
      double memory = 0;
      double cards = 0;
      for (Task other : tasks.values()) {
        JsonNode held = other.status.equals("ended") ? null : jobs.spec(other.ref());
        if (held != null) {
          vcpus += held.get("vcpus").asDouble();
          memory += held.get("memory_gb").asDouble();
          cards += held.get("cards").asDouble();
        }
      }
      if (vcpus > hull.vcpus + 1e-6 || memory > hull.memoryGb + 1e-6 || cards > hull.cards + 1e-6) {
        exit(task, "full");
        return;
      }
      record.line("start " + piece + " on " + name);
      timer.schedule(() -> run(key, task), FETCH_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void run(String key, Task task) {
      if (ended || tasks.get(key) != task || !task.status.equals("fetching")) {
        return;
      }
      task.status = "running";
      changed = true;
      started.add(task.ref());
      record.line("running " + task.piece + " on " + name);
      long millis = jobs.runMillis(task.ref());
      if (millis >= 0) {
        timer.schedule(
            () -> {
              synchronized (this) {
                if (!ended && tasks.get(key) == task && task.status.equals("running")) {
                  exit(task, "done");
                }
              }
            },
            millis, TimeUnit.MILLISECONDS);
      }
    }

    private void exit(Task task, String cause) {
      task.status = "ended";
      task.cause = cause;
      changed = true;
      record.line("ended " + task.piece + " " + cause + " on " + name);
    }

    private void handle(HttpExchange exchange) throws IOException {
      byte[] body = exchange.getRequestBody().readAllBytes();
      int status = 200;
      byte[] out;
      synchronized (this) {
        if (exchange.getRequestURI().getPath().equals("/do")) {
          JsonNode request = JSON.readTree(body);
          if (!request.has("baton") || !request.has("shift")) {
            status = 400;
          } else if (request.get("baton").asLong() < baton || request.get("shift").asLong() != shift) {
            status = 409;
          } else {
            if (request.get("baton").asLong() > baton) {
              changed = true;
            }
            baton = request.get("baton").asLong();
            execute(request.get("orders"));
          }
        }
        out = JSON.writeValueAsBytes(state());
      }
      Http.answer(exchange, status, out);
    }
  }

  synchronized List<String> machineNames() {
    return new ArrayList<>(machines.keySet());
  }
}
