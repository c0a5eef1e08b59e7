package io.pineladder.sim;

import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.HttpResponse;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The loopback network between the workers of this process and controllers in other processes, with
 * losses, delays and late copies. Event thread only.
 */
final class FaultyNetwork implements SimulatedWorld.ExternalNetwork {
  private static final int MAX_DELAY_MILLIS = 5_000;
  private static final int MIN_LATE_MILLIS = 2_000;
  private static final int MAX_LATE_COMMAND_MILLIS = 16_000;
  private static final int MAX_LATE_REPORT_MILLIS = 40_000;

  private final RealTimeWorld realTimeWorld;
  private final SimulatedWorld world;
  private final List<String> controllers;
  private final RandomGenerator random;
  private final Map<String, AsyncHttpHandler> handlers = new HashMap<>();

  /** Machines whose requests reach no controller. */
  final Set<String> muteHosts = new HashSet<>();

  /** Machines that receive neither answers nor commands. */
  final Set<String> deafHosts = new HashSet<>();

  /** The part of the messages that is delayed. */
  double delayRate;

  /** The part of the heartbeats of which a copy arrives again later. */
  double lateReportRate;

  /** The part of the commands that gets no answer and is executed later. */
  double lateCommandRate;

  FaultyNetwork(RealTimeWorld realTimeWorld, List<String> controllers, RandomGenerator random) {
    this.realTimeWorld = realTimeWorld;
    this.world = realTimeWorld.world();
    this.controllers = controllers;
    this.random = random;
  }

  @Override
  public void serve(String address, AsyncHttpHandler handler) {
    handlers.put(address, handler);
    realTimeWorld.serve(
        address, (method, path, body, answer) -> receive(address, method, path, body, answer));
  }

  @Override
  public void stop(String address) {
    handlers.remove(address);
    realTimeWorld.stop(address);
  }

  /** Delivers a command to a worker. */
  private void receive(
      String address, String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    String host = SimulatedWorld.host(address);
    if (deafHosts.contains(host)) {
      return;
    }
    AsyncHttpHandler handler = handlers.get(address);
    if (random.nextDouble() < lateCommandRate) {
      world.after(
          random.nextInt(MIN_LATE_MILLIS, MAX_LATE_COMMAND_MILLIS),
          () -> deliver(address, handler, method, path, body, response -> {}));
      return;
    }
    world.after(
        delayMillis(),
        () ->
            deliver(
                address,
                handler,
                method,
                path,
                body,
                response -> {
                  if (!deafHosts.contains(host)) {
                    answer.accept(response);
                  }
                }));
  }

  /** Delivers a message unless the machine has ended meanwhile. */
  private void deliver(
      String address,
      AsyncHttpHandler handler,
      String method,
      String path,
      byte[] body,
      Consumer<HttpResponse> answer) {
    if (handler != null && handlers.get(address) == handler) {
      handler.handle(method, path, body, answer);
    }
  }

  private long delayMillis() {
    return random.nextDouble() < delayRate ? random.nextInt(MAX_DELAY_MILLIS) : 0;
  }

  @Override
  public AsyncHttpClient httpClient(String from) {
    return (request, onReply) -> send(from, request, onReply);
  }

  /** Sends a heartbeat of a worker. */
  private void send(String from, Request request, Consumer<Reply> onReply) {
    if (random.nextDouble() < lateReportRate) {
      String target = controllers.get(random.nextInt(controllers.size()));
      Request copy = Request.post(target, request.path(), request.body(), request.timeout());
      world.after(
          random.nextInt(MIN_LATE_MILLIS, MAX_LATE_REPORT_MILLIS),
          () -> realTimeWorld.httpClient().call(copy, reply -> {}));
    }
    if (muteHosts.contains(from)) {
      world.after(request.timeout().toMillis(), () -> onReply.accept(Reply.NOT_SENT));
      return;
    }
    world.after(
        delayMillis(),
        () ->
            realTimeWorld
                .httpClient()
                .call(
                    request,
                    reply -> onReply.accept(deafHosts.contains(from) ? Reply.UNKNOWN : reply)));
  }
}
