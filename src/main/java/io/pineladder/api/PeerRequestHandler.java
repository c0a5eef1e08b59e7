package io.pineladder.api;

import static io.pineladder.net.HttpResponses.error;
import static io.pineladder.net.HttpResponses.ok;
import static io.pineladder.net.HttpResponses.unavailable;
import static io.pineladder.net.HttpResponses.withTimeout;

import io.pineladder.ControllerNode;
import io.pineladder.LeaderTerm;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.PeerWire;
import io.pineladder.wire.RecordWire;
import java.util.List;
import java.util.function.Consumer;

/** Serves requests forwarded by other controllers. Event thread only. */
final class PeerRequestHandler {
  private final ControllerNode node;
  private final LeaderApi leaderApi;
  private final LeaderlessApi leaderlessApi;
  private final PeerForwarder forwarder;

  PeerRequestHandler(
      ControllerNode node,
      LeaderApi leaderApi,
      LeaderlessApi leaderlessApi,
      PeerForwarder forwarder) {
    this.node = node;
    this.leaderApi = leaderApi;
    this.leaderlessApi = leaderlessApi;
    this.forwarder = forwarder;
  }

  /**
   * Serves a forwarded request as the leader, forwards it again, or stores a submission without a
   * leader.
   */
  void handle(byte[] body, Consumer<HttpResponse> answer) {
    PeerWire.ForwardedRequest request;
    try {
      request = PeerWire.parseRequest(body);
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    RecordWire.LeaderRecord knownLeader = node.election().knownLeader();
    String leaderName = knownLeader == null ? null : knownLeader.controllerName();
    Consumer<HttpResponse> onDecided =
        response ->
            answer.accept(
                ok(PeerWire.write(new PeerWire.ForwardedResponse(true, response, leaderName))));
    Runnable onUndecided =
        () ->
            answer.accept(
                ok(
                    PeerWire.write(
                        new PeerWire.ForwardedResponse(
                            false, unavailable("no leader"), leaderName))));
    boolean isSubmission = ApiPaths.isSubmission(request.path());
    // Another controller may accept a submission that is unavailable here, so it counts as
    // undecided.
    Consumer<HttpResponse> onServed =
        isSubmission
            ? response -> {
              if (response.status() == 503) {
                onUndecided.run();
              } else {
                onDecided.accept(response);
              }
            }
            : onDecided;
    LeaderTerm leader = node.leadingTerm();
    if (leader != null) {
      leaderApi.handle(leader, request.method(), request.path(), request.body(), onServed);
      return;
    }
    Runnable withoutLeader =
        isSubmission ? () -> submitOnBehalfOfPeer(request.body(), onServed) : onUndecided;
    if (request.remainingHops() <= 0 || !forwarder.canReachLeader(knownLeader)) {
      withoutLeader.run();
      return;
    }
    forwarder.forward(
        List.of(knownLeader.address()),
        new PeerWire.ForwardedRequest(
            request.method(), request.path(), request.body(), request.remainingHops() - 1),
        onDecided,
        withoutLeader);
  }

  /** Stores a submission for a peer that reaches neither a leader nor the store. */
  private void submitOnBehalfOfPeer(byte[] body, Consumer<HttpResponse> answer) {
    try {
      leaderlessApi.submit(
          JobWire.parse(body), withTimeout(node.eventLoop(), answer, LeaderApi.COMMIT_TIMEOUT));
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
    }
  }
}
