package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.stream.BegunStream;
import org.teaseltrail.core.stream.OriginAnswer;
import org.teaseltrail.core.stream.OriginQuestion;
import org.teaseltrail.core.stream.StreamKey;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * Tells the control members which version began this VM's streams, and asks them for the origins of
 * streams that callers take up here.
 *
 * <p>A stream goes on only at the version that began it, and its caller comes back at any VM. All
 * members are told and asked, so that neither the loss of the leader nor that of the VM which began
 * the stream loses its origin. Nothing is told of services that have had one version only: for
 * these the leader can say so.
 */
final class StreamOriginClient {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time after which a question counts as unanswered; a member answers within some ms. */
  private static final long MAX_WAIT_NS = 300 * NS_PER_MS;

  /** Time for which an origin is kept if the caller's deadline is shorter. */
  private static final long MIN_RETENTION_MS = 60_000;

  /** Maximum time for which an origin is kept, whatever the caller's deadline. */
  private static final long MAX_RETENTION_MS = 600_000;

  /** Bounds the memory of requests that wait for an origin. */
  private static final int MAX_QUESTIONS = 500;

  /** Continues a request once its stream's origin is known, or known to be unknown. */
  interface Continuation {
    void onOrigin(Optional<StreamOrigin> origin, long nowNs);
  }

  /** A stream that this VM has begun. */
  private static final class OwnStream {
    private final StreamKey key;
    private final StreamOrigin origin;
    private final long expiryNs;
    private boolean told;

    private OwnStream(StreamKey key, StreamOrigin origin, long expiryNs) {
      this.key = key;
      this.origin = origin;
      this.expiryNs = expiryNs;
    }
  }

  /** A question to which not all members have answered. */
  private static final class OpenQuestion {
    private final Continuation continuation;
    private final long expiryNs;
    private int unanswered;

    private OpenQuestion(Continuation continuation, long expiryNs, int unanswered) {
      this.continuation = continuation;
      this.expiryNs = expiryNs;
      this.unanswered = unanswered;
    }
  }

  private final ControlClient controlClient;
  private final UpstreamTracker upstreams;
  private final Consumer<ForwardAction> actions;
  private final Map<StreamKey, OwnStream> own = new LinkedHashMap<>();
  private final Map<Long, OpenQuestion> questions = new HashMap<>();
  private final Map<ServiceId, Set<StreamOrigin>> registered = new HashMap<>();
  private Set<ServiceId> mixedServices = Set.of();
  private long registeredRevision = Long.MIN_VALUE;
  private boolean isLeaderOld;
  private boolean wasLeaderLost;

  StreamOriginClient(
      ControlClient controlClient, UpstreamTracker upstreams, Consumer<ForwardAction> actions) {
    this.controlClient = controlClient;
    this.upstreams = upstreams;
    this.actions = actions;
  }

  /** Records a stream whose caller has just received the first event. */
  void recordBegun(ActiveRequest request, long nowNs) {
    removeExpired(nowNs);
    Optional<StreamKey> key = StreamKey.of(request.customer(), request.request().id());
    if (key.isPresent() && request.origin().isPresent()) {
      long expiryNs = nowNs + retentionMs(request) * NS_PER_MS;
      own.put(key.get(), new OwnStream(key.get(), request.origin().get(), expiryNs));
      tellMembers(nowNs);
    }
  }

  private static long retentionMs(ActiveRequest request) {
    long deadlineMs = request.request().deadlineMs().orElse(request.route().timeoutMs());
    return Math.max(MIN_RETENTION_MS, Math.min(MAX_RETENTION_MS, deadlineMs));
  }

  /** Applies the leader's list of services with several versions. */
  void onConfirmed(ServingReply.Confirmed confirmed, boolean isNewLeadership, long nowNs) {
    isLeaderOld = confirmed.mixedServices().isEmpty();
    mixedServices = OrderedCopies.setOf(confirmed.mixedServices().orElse(List.of()));
    if (isNewLeadership || wasLeaderLost) {
      own.values().forEach(stream -> stream.told = false);
    }
    wasLeaderLost = false;
    tellMembers(nowNs);
  }

  /** Handles new registrations, by which a service may have got another version. */
  void onRegistryUpdate(long nowNs) {
    tellMembers(nowNs);
  }

  /**
   * Finds out what began the stream that a request resumes, and passes it on; empty if nobody knows
   * it for certain.
   */
  void resolve(
      ForwardRequest request,
      PlanRoute route,
      Optional<CustomerId> customer,
      Continuation continuation,
      long nowNs) {
    Optional<StreamKey> key =
        request
            .resumption()
            .flatMap(StreamResumption::begunBy)
            .flatMap(attempt -> StreamKey.of(customer, attempt));
    Optional<ServiceId> service =
        route.targets().size() == 1
            ? Optional.of(route.targets().get(0).service())
            : Optional.empty();
    Optional<StreamOrigin> known =
        key.flatMap(named -> findOwn(named, nowNs))
            .or(() -> isLeaderOld ? service.flatMap(this::onlyRegistered) : Optional.empty());
    if (known.isPresent() || isLeaderOld || questions.size() >= MAX_QUESTIONS) {
      continuation.onOrigin(known, nowNs);
      return;
    }
    List<VmId> members = controlClient.members();
    questions.put(
        request.number(), new OpenQuestion(continuation, nowNs + MAX_WAIT_NS, members.size()));
    OriginQuestion question = new OriginQuestion(request.number(), key, service);
    sendToAll(new ServingMessage.OriginQuery(controlClient.vm(), List.of(question)));
  }

  private Optional<StreamOrigin> findOwn(StreamKey key, long nowNs) {
    return Optional.ofNullable(own.get(key))
        .filter(stream -> nowNs < stream.expiryNs)
        .map(stream -> stream.origin);
  }

  /** Returns the only origin that this VM's registrations allow. */
  private Optional<StreamOrigin> onlyRegistered(ServiceId service) {
    Set<StreamOrigin> origins = registeredOrigins(service);
    return origins.size() == 1 ? origins.stream().findFirst() : Optional.empty();
  }

  /** Handles a member's answers; the last one to a question decides if none knows the origin. */
  void onAnswers(ServingReply.OriginAnswers answers, long nowNs) {
    for (OriginAnswer answer : answers.answers()) {
      OpenQuestion question = questions.get(answer.number());
      if (question != null) {
        question.unanswered--;
        if (answer.origin().isPresent() || question.unanswered == 0) {
          questions.remove(answer.number());
          question.continuation.onOrigin(answer.origin(), nowNs);
        }
      }
    }
  }

  void onCallerDisconnected(long number) {
    questions.remove(number);
  }

  /** Returns the number of requests that wait for an origin. */
  int waiting() {
    return questions.size();
  }

  /** Gives up questions that the members have not answered. */
  void tick(long nowNs) {
    wasLeaderLost |= !controlClient.hasLeader(nowNs);
    List<Long> overdue =
        questions.entrySet().stream()
            .filter(question -> nowNs >= question.getValue().expiryNs)
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    for (long number : overdue) {
      questions.remove(number).continuation.onOrigin(Optional.empty(), nowNs);
    }
  }

  OptionalLong nextDueNs() {
    return questions.values().stream().mapToLong(question -> question.expiryNs).min();
  }

  private boolean mustTell(OwnStream stream) {
    return !stream.told && !isLeaderOld && isMixed(stream.origin.service());
  }

  private boolean isMixed(ServiceId service) {
    return mixedServices.contains(service) || registeredOrigins(service).size() > 1;
  }

  private Set<StreamOrigin> registeredOrigins(ServiceId service) {
    if (registeredRevision != upstreams.revision()) {
      registeredRevision = upstreams.revision();
      registered.clear();
    }
    return registered.computeIfAbsent(
        service,
        key ->
            upstreams.of(key).stream()
                .map(upstream -> StreamOrigin.of(upstream.registration()))
                .collect(Collectors.toSet()));
  }

  /** Tells the members of the streams that they must know of and have not been told yet. */
  private void tellMembers(long nowNs) {
    removeExpired(nowNs);
    List<BegunStream> untold = new ArrayList<>();
    for (OwnStream stream : own.values()) {
      if (mustTell(stream)) {
        stream.told = true;
        long retentionMs = Math.max(1, (stream.expiryNs - nowNs) / NS_PER_MS);
        untold.add(new BegunStream(stream.key, stream.origin, retentionMs));
      }
    }
    if (!untold.isEmpty()) {
      sendToAll(new ServingMessage.StreamsBegun(controlClient.vm(), untold));
    }
  }

  private void sendToAll(ServingMessage message) {
    controlClient
        .members()
        .forEach(member -> actions.accept(new ForwardAction.SendControl(member, message)));
  }

  /** Drops the oldest streams that have expired; few expire out of order. */
  private void removeExpired(long nowNs) {
    Iterator<OwnStream> oldestFirst = own.values().iterator();
    while (oldestFirst.hasNext() && nowNs >= oldestFirst.next().expiryNs) {
      oldestFirst.remove();
    }
  }
}
