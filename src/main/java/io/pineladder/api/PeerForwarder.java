package io.pineladder.api;

import io.pineladder.ControllerNode;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.PeerWire;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards requests to other controllers: to the leader, or to a peer that may reach the leader.
 * Event thread only.
 */
final class PeerForwarder implements HeartbeatHandler.RequestForwarder {
  private static final Logger log = LoggerFactory.getLogger(PeerForwarder.class);

  private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(1300);

  /** Shorter, because this controller can store a submission itself if the leader is too slow. */
  private static final Duration SUBMISSION_FORWARD_TIMEOUT = Duration.ofMillis(700);

  /** Time after a failed call to the leader during which nothing is forwarded to it. */
  private static final Duration LEADER_RETRY_DELAY = Duration.ofSeconds(1);

  private final ControllerNode node;
  private Instant leaderFailedAt;

  PeerForwarder(ControllerNode node) {
    this.node = node;
  }

  /**
   * Forwards a request of a user or an operator to the leader, and to other peers as well if the
   * key-value store is unreachable.
   *
   * @param onUndecided runs if no controller decides the request
   */
  void forwardToLeader(
      String method,
      String path,
      byte[] body,
      Consumer<HttpResponse> answer,
      Runnable onUndecided) {
    List<String> addresses = new ArrayList<>();
    RecordWire.LeaderRecord knownLeader = node.election().knownLeader();
    if (canReachLeader(knownLeader)) {
      addresses.add(knownLeader.address());
    }
    if (!node.storeClient().isHealthy()) {
      // Without the key-value store the known leader may be outdated; a peer may know a newer one.
      for (String peer : node.membership().candidateAddresses()) {
        if (!addresses.contains(peer)) {
          addresses.add(peer);
        }
      }
    }
    forward(addresses, new PeerWire.ForwardedRequest(method, path, body, 1), answer, onUndecided);
  }

  /** Whether another controller leads, is reachable, and no call to it has failed recently. */
  boolean canReachLeader(RecordWire.LeaderRecord knownLeader) {
    boolean leaderIsPeer =
        knownLeader != null
            && !knownLeader.controllerName().equals(node.settings().controllerName());
    boolean failedRecently =
        leaderFailedAt != null
            && leaderFailedAt.plus(LEADER_RETRY_DELAY).isAfter(node.eventLoop().now());
    return leaderIsPeer
        && !failedRecently
        && !node.membership().isUnreachable(knownLeader.controllerName());
  }

  @Override
  public void forward(
      List<String> addresses,
      PeerWire.ForwardedRequest request,
      Consumer<HttpResponse> answer,
      Runnable onUndecided) {
    forwardFrom(0, addresses, request, answer, onUndecided);
  }

  /** Tries the addresses in order, beginning with the one at {@code index}. */
  private void forwardFrom(
      int index,
      List<String> addresses,
      PeerWire.ForwardedRequest request,
      Consumer<HttpResponse> answer,
      Runnable onUndecided) {
    if (index >= addresses.size()) {
      onUndecided.run();
      return;
    }
    String address = addresses.get(index);
    node.httpClient()
        .call(
            Request.post(
                address,
                PeerWire.PATH,
                PeerWire.write(request),
                ApiPaths.isSubmission(request.path())
                    ? SUBMISSION_FORWARD_TIMEOUT
                    : FORWARD_TIMEOUT),
            reply -> {
              try {
                if (reply.hasStatus(200)) {
                  PeerWire.ForwardedResponse peerResponse = PeerWire.parseResponse(reply.body());
                  if (peerResponse.decided()) {
                    answer.accept(peerResponse.response());
                    return;
                  }
                }
              } catch (MalformedMessageException e) {
                log.warn(
                    "Malformed response to a forwarded request: peer={} reason={}",
                    address,
                    e.getMessage());
              }
              RecordWire.LeaderRecord knownLeader = node.election().knownLeader();
              if (knownLeader != null && knownLeader.address().equals(address)) {
                leaderFailedAt = node.eventLoop().now();
              }
              forwardFrom(index + 1, addresses, request, answer, onUndecided);
            });
  }
}
