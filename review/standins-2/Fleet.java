import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The cloud and the workers of the protocol. */
final class Fleet implements Http.Handler {
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final long ANSWER_MILLIS = 4_000;

  final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, daemon());
  final TreeMap<String, Worker> machines = new TreeMap<>();
  private final Map<String, Http.Answer> rentals = new LinkedHashMap<>();
  private final Random random = new Random(1);
  private final Record record;
  private final int[] controllerPorts;
  private final long reportMillis;
  private final long leaseMillis;
  private int lastNumber;
  private volatile int rentalRequests;

  // The only machine type, and how many machines the cloud gives.
  double vcpus = 24;
  double cards = 4;
  double memoryGb = 192;
  int capacity = 12;
  String sku = "kelani24";
  List<String> yards = List.of("wattala");

  /** How many machines the cloud gives in a zone, where that differs from the capacity. */
  final Map<String, Integer> capacityByYard = new java.util.concurrent.ConcurrentHashMap<>();

  /** The run time of a task by its job, in milliseconds; 0 for one that never ends. */
  Map<String, Long> runMillis = new java.util.concurrent.ConcurrentHashMap<>();

  /** How long a machine takes to boot, beside up to two seconds. */
  long bootMillis;

  /** How long a worker takes to fetch an image. */
  long fetchMillis = 300;

  /** How long the network takes to carry a direct command to a worker. */
  volatile long commandDelayMillis;

  /** The largest body of a direct command, and the largest answer to a report. */
  volatile int largestCommand;

  volatile int largestAnswer;
  volatile int refusedCommands;

  /** Whether the record has each task. */
  boolean recordTasks = true;
  volatile int refusedAnswers;
  volatile int largestReport;
  private final Map<String, Integer> startsByJob = new java.util.concurrent.ConcurrentHashMap<>();

  Fleet(Record record, int[] controllerPorts, double reportSeconds, double leaseSeconds) {
    this.record = record;
    this.controllerPorts = controllerPorts;
    this.reportMillis = (long) (reportSeconds * 1_000);
    this.leaseMillis = (long) (leaseSeconds * 1_000);
  }

  private static java.util.concurrent.ThreadFactory daemon() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }

  // ---- the cloud

  @Override
  public synchronized Http.Answer handle(String method, String path, String body)
      throws IOException {
    if (path.equals("/flavors")) {
      Map<String, Object> type =
          Json.map(
              "sku", sku, "vcpus", vcpus, "cards", cards, "memory_gb", memoryGb, "local_gb", 120.0,
              "pull_gb_per_s", 0.5, "hourly", 9.88, "spot_price", 3.58, "boot_s", 25.0,
              "yards", yards);
      return new Http.Answer(200, Json.write(Json.map("hulls", List.of(type))));
    }
    if (path.equals("/rentals")) {
      Map<String, Object> request = Json.object(body);
      String charter = (String) request.get("charter");
      if (!rentals.containsKey(charter)) {
        String yard = (String) request.get("yard");
        rentalRequests++;
        long inYard = machines.values().stream().filter(m -> m.yard.equals(yard)).count();
        long left = capacityByYard.getOrDefault(yard, capacity) - inYard;
        long count = Math.min((Long) request.get("count"), left);
        record.add("cloud: " + request + ", has " + left);
        if (count <= 0) {
          return new Http.Answer(503, "{\"error\":\"no capacity\"}");
        }
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          names.add(addMachine(yard, (Boolean) request.get("loaners")));
        }
        rentals.put(charter, new Http.Answer(200, Json.write(Json.map("hosts", names))));
      }
      return rentals.get(charter);
    }
    if (path.equals("/rentals/release")) {
      for (Object name : (List<?>) Json.object(body).get("hosts")) {
        Worker worker = machines.remove(name);
        if (worker != null) {
          worker.end();
        }
      }
      return new Http.Answer(200, "{}");
    }
    int since = path.indexOf("since=");
    String after = since < 0 ? "" : path.substring(since + 6).split("&")[0];
    List<Object> hosts = new ArrayList<>();
    for (Worker worker : machines.tailMap(after, false).values()) {
      hosts.add(
          Json.map(
              "ref", worker.name, "addr", worker.address(), "hull", sku, "yard", worker.yard,
              "loaners", worker.loaner, "status", status(worker),
              "age_s", (System.nanoTime() - worker.bornAt) / 1e9));
    }
    return new Http.Answer(200, Json.write(Json.map("hosts", hosts, "truncated", false)));
  }

  private String status(Worker worker) {
    if (worker.ended) {
      return "failed";
    }
    return worker.up || bootMillis == 0 ? "running" : "booting";
  }

  /** Creates a machine, whose worker reports within two seconds of its boot. */
  synchronized String addMachine(String yard, boolean loaner) throws IOException {
    String name = String.format("m-%06d", ++lastNumber);
    Worker worker = new Worker(name, yard, loaner);
    machines.put(name, worker);
    timers.schedule(worker::boot, bootMillis + 200 + random.nextInt(1_500), TimeUnit.MILLISECONDS);
    return name;
  }

  /** Lets a machine stop with all that is on it; it stays listed as failed until it is deleted. */
  synchronized void stopMachine(String name) {
    record.say(name + " stops");
    machines.get(name).end();
  }

  /** The tasks of a job that are on machines now. */
  synchronized List<String> onMachines(String job) {
    List<String> found = new ArrayList<>();
    for (Worker worker : machines.values()) {
      found.addAll(worker.onMachine(job));
    }
    return found;
  }

  private void note(String line) {
    if (recordTasks) {
      record.add(line);
    }
  }

  /** How many requests for machines the cloud has got. */
  int rentals() {
    return rentalRequests;
  }

  /** How many start commands the workers have executed. */
  int starts() {
    return startsByJob.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** How many start commands of a job the workers have executed. */
  int startsOf(String job) {
    return startsByJob.getOrDefault(job, 0);
  }

  /** The highest session of a worker. */
  synchronized long sessions() {
    return machines.values().stream().mapToLong(worker -> worker.shift).max().orElse(0);
  }

  // ---- the workers

  static final class Task {
    final String piece;
    final long attempt;
    String status = "fetching";
    String cause;

    Task(String piece, long attempt) {
      this.piece = piece;
      this.attempt = attempt;
    }
  }

  final class Worker implements Http.Handler {
    final String name;
    final String yard;
    final boolean loaner;
    final long bornAt = System.nanoTime();
    private final int port;
    private final HttpServer server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long shift = 1;
    private long tally;
    private long baton;
    private int controller;
    private long leaseFrom;
    private volatile boolean up;
    private volatile boolean ended;
    private boolean reporting;
    private long reportNumber;

    Worker(String name, String yard, boolean loaner) throws IOException {
      this.name = name;
      this.yard = yard;
      this.loaner = loaner;
      this.port = Http.freePorts(1)[0];
      this.server = Http.serve(port, this);
      this.controller = Math.floorMod(name.hashCode(), controllerPorts.length);
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    synchronized List<String> onMachine(String job) {
      List<String> found = new ArrayList<>();
      for (Task task : tasks.values()) {
        if (task.piece.startsWith(job + "/") && task.status.equals("running")) {
          found.add(task.piece);
        }
      }
      return found;
    }

    private void boot() {
      leaseFrom = System.nanoTime();
      up = true;
      timers.scheduleWithFixedDelay(this::checkLease, 100, 100, TimeUnit.MILLISECONDS);
      Http.THREADS.execute(this::reportOnce);
    }

    void end() {
      ended = true;
      server.stop(0);
    }

    private synchronized void checkLease() {
      if (!ended && (System.nanoTime() - leaseFrom) / 1_000_000 > leaseMillis) {
        record.add(name + " lease expired, session " + shift + " ends with " + tasks.size() + " tasks");
        tasks.clear();
        shift++;
        leaseFrom = System.nanoTime();
      }
    }

    private synchronized String report() {
      List<Object> pieces = new ArrayList<>();
      for (Task task : tasks.values()) {
        Map<String, Object> piece =
            Json.map("piece", task.piece, "try", task.attempt, "status", task.status);
        if (task.cause != null) {
          piece.put("cause", task.cause);
        }
        pieces.add(piece);
      }
      String text = Json.write(
          Json.map(
              "host", name, "addr", address(), "hull", sku, "yard", yard, "loaners", loaner,
              "shift", shift, "tally", ++tally, "baton", baton, "recall_s", null,
              "pieces", pieces));
      largestReport = Math.max(largestReport, text.length());
      return text;
    }

    private void reportLater(long millis) {
      long number = reportNumber;
      timers.schedule(
          () -> {
            if (number == reportNumber) {
              Http.THREADS.execute(this::reportOnce);
            }
          },
          millis,
          TimeUnit.MILLISECONDS);
    }

    private void reportOnce() {
      synchronized (this) {
        if (ended || reporting) {
          return;
        }
        reporting = true;
        reportNumber++;
      }
      long sentAt = System.nanoTime();
      long sentShift = shift;
      Http.Answer answer =
          Http.call("POST", controllerPorts[controller], "/v1/report", report(), ANSWER_MILLIS);
      synchronized (this) {
        reporting = false;
        if (answer.status() == 200 && longestLine(answer.body()) > MAX_BODY_BYTES) {
          largestAnswer = Math.max(largestAnswer, longestLine(answer.body()));
          refusedAnswers++;
          record.add(name + " answer has a line of " + longestLine(answer.body()) + " bytes");
          answer = Http.Answer.NONE;
        }
        if (answer.status() == 200) {
          Map<String, Object> body = Json.object(answer.body());
          largestAnswer = Math.max(largestAnswer, longestLine(answer.body()));
          Long token = (Long) body.get("baton");
          boolean higher = token != null && token > baton;
          if (token != null && token >= baton && sentShift == shift) {
            baton = token;
            leaseFrom = sentAt;
            execute((List<?>) body.get("orders"), "answer");
          }
          reportLater(higher ? 500 : reportMillis * 3 / 4 + random.nextInt((int) reportMillis / 2));
          return;
        }
        if (answer.status() == 421) {
          Object foreman = Json.object(answer.body()).get("foreman");
          int next = foreman == null ? -1 : Integer.parseInt(((String) foreman).substring(5));
          if (next >= 0 && next != controller) {
            controller = next;
            reportLater(random.nextInt(400) + 1);
            return;
          }
        }
        controller = (controller + 1) % controllerPorts.length;
        reportLater(1_000);
      }
    }

    private int longestLine(String text) {
      int longest = 0;
      for (String line : text.split("\n", -1)) {
        longest = Math.max(longest, line.length());
      }
      return longest;
    }

    private void execute(List<?> orders, String way) {
      for (Object each : orders) {
        Map<?, ?> order = (Map<?, ?>) each;
        String piece = (String) order.get("piece");
        long attempt = (Long) order.get("try");
        String key = piece + "#" + attempt;
        Task task = tasks.get(key);
        switch ((String) order.get("verb")) {
          case "start" -> {
            if (task == null) {
                            startsByJob.merge(piece.split("/")[0], 1, Integer::sum);
              Task started = new Task(piece, attempt);
              tasks.put(key, started);
              note(name + " start " + key + " by " + way);
              timers.schedule(() -> run(key, started), fetchMillis, TimeUnit.MILLISECONDS);
            }
          }
          case "kill" -> {
            if (task != null && !task.status.equals("ended")) {
              exit(key, task, "stopped");
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

    private synchronized void run(String key, Task task) {
      if (ended || tasks.get(key) != task || !task.status.equals("fetching")) {
        return;
      }
      task.status = "running";
      note(name + " runs " + key);
      long millis = runMillis.getOrDefault(task.piece.split("/")[0], 1_000L);
      if (millis > 0) {
        timers.schedule(
            () -> {
              synchronized (this) {
                if (!ended && tasks.get(key) == task && task.status.equals("running")) {
                  exit(key, task, "done");
                }
              }
            },
            millis,
            TimeUnit.MILLISECONDS);
      }
      reportLater(500);
    }

    private void exit(String key, Task task, String cause) {
      task.status = "ended";
      task.cause = cause;
      note(name + " ended " + key + " " + cause);
      reportLater(500);
    }

    @Override
    public Http.Answer handle(String method, String path, String body) throws Exception {
      if (!up || ended) {
        return Http.Answer.NONE;
      }
      if (path.equals("/inspect")) {
        return new Http.Answer(200, report());
      }
      largestCommand = Math.max(largestCommand, body.length());
      if (commandDelayMillis > 0) {
        Thread.sleep(commandDelayMillis);
      }
      if (body.length() > MAX_BODY_BYTES) {
        refusedCommands++;
        record.add(name + " refused a command of " + body.length() + " bytes");
        return new Http.Answer(413, "{\"error\":\"longer than 64 KiB\"}");
      }
      Map<String, Object> request = Json.object(body);
      synchronized (this) {
        Long token = (Long) request.get("baton");
        Long session = (Long) request.get("shift");
        if (token == null || session == null) {
          return new Http.Answer(400, report());
        }
        if (token < baton || session != shift) {
          return new Http.Answer(409, report());
        }
        baton = token;
        execute((List<?>) request.get("orders"), "command");
        return new Http.Answer(200, report());
      }
    }
  }
}
