package org.teaseltrail.core.schedule;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Runs a session script against a scheduler and records its actions in a transcript. A line of a
 * script is a command with arguments and options as key=value; a line that starts with # is a
 * comment.
 */
final class GoldenSession {

  private final List<String> transcript = new ArrayList<>();
  private final Map<String, Ticket> tickets = new HashMap<>();
  private PoolFixture pool = new PoolFixture(SchedulerSettings.defaults());
  private String[] words;
  private Map<String, String> options;

  /** Runs a script and returns it with the scheduler's actions below each command. */
  String run(List<String> script) {
    for (String line : script) {
      transcript.add(line);
      if (!line.isBlank() && !line.startsWith("#")) {
        runLine(line);
      }
    }
    pool.scheduler.audit();
    return String.join("\n", transcript) + "\n";
  }

  private void runLine(String line) {
    List<String> plain = new ArrayList<>();
    options = new HashMap<>();
    for (String word : line.strip().split(" +")) {
      int equals = word.indexOf('=');
      if (equals < 0) {
        plain.add(word);
      } else {
        options.put(word.substring(0, equals), word.substring(equals + 1));
      }
    }
    words = plain.toArray(String[]::new);
    recordActions(command());
  }

  private List<SchedulerAction> command() {
    return switch (words[0]) {
      case "at" -> at();
      case "limit" -> limit();
      case "customer" -> customer();
      case "allow" -> allow(false);
      case "drain" -> allow(true);
      case "announce" -> announce();
      case "offer" -> send(new EntryMessage.Offer(ticket()));
      case "withdraw" -> send(new EntryMessage.Withdraw(request(), WithdrawReason.CALLER_GONE));
      case "first" -> send(new EntryMessage.FirstToken(request(), upstream(), number("ms", 20)));
      case "progress" -> send(new EntryMessage.Progress(request(), upstream(), tokens()));
      case "end" -> send(ended());
      case "decline" -> send(declined());
      case "running" -> send(running());
      case "complete" -> send(new EntryMessage.ReportsComplete(vm(), new FencingNumber(1)));
      case "awaited" -> pool.handle(new SchedulerEvent.ReportsAwaited(vms()));
      case "lapse" -> pool.handle(new SchedulerEvent.VmSessionExpired(new VmId(words[1])));
      case "claimed" -> pool.handle(new SchedulerEvent.ClaimGranted(request()));
      case "denied" -> pool.handle(new SchedulerEvent.ClaimDenied(request()));
      default -> throw new IllegalArgumentException(words[0]);
    };
  }

  /** Advances the time in steps of at most 50 ms, with a tick after each. */
  private List<SchedulerAction> at() {
    long untilMs = Long.parseLong(words[1]);
    List<SchedulerAction> actions = new ArrayList<>();
    while (pool.nowMs < untilMs) {
      pool.nowMs = Math.min(untilMs, pool.nowMs + 50);
      actions.addAll(pool.tick());
    }
    return actions;
  }

  private List<SchedulerAction> limit() {
    pool.maxWaitingMs(Long.parseLong(words[1]));
    return pool.configure();
  }

  private List<SchedulerAction> customer() {
    int tier = (int) number("tier", 1);
    pool.customer(words[1], tier, number("rate", 0), number("burst", 0), (int) number("weight", 1));
    return pool.configure();
  }

  private List<SchedulerAction> allow(boolean draining) {
    for (String upstream : Arrays.asList(words).subList(1, words.length)) {
      pool.allow(upstream, draining);
    }
    return pool.configure();
  }

  private List<SchedulerAction> announce() {
    UpstreamPhase phase = UpstreamPhase.valueOf(words[2].toUpperCase(Locale.ROOT));
    return pool.announce(words[1], number("life", 1), phase);
  }

  private Ticket ticket() {
    Ticket known = tickets.get(words[1]);
    if (known != null) {
      return known;
    }
    List<Long> blocks = new ArrayList<>();
    for (long i = 0; i < number("blocks", 0); i++) {
      blocks.add(number("from", 0) + i);
    }
    int tier = (int) number("tier", 1);
    Ticket ticket =
        PoolFixture.ticket(
            words[1],
            options.getOrDefault("customer", "c" + tier),
            tier,
            (int) number("prompt", 100),
            (int) number("out", 50),
            number("deadline", 0),
            options.containsKey("claim"),
            blocks);
    tickets.put(words[1], ticket);
    return ticket;
  }

  private EntryMessage ended() {
    EndKind kind = EndKind.valueOf(option("kind", "completed").toUpperCase(Locale.ROOT));
    int prompt = tickets.get(words[1]).promptTokens();
    Usage usage = new Usage(prompt, (int) number("cached", 0), tokens());
    return new EntryMessage.Ended(request(), upstream(), kind, usage, number("ms", 300));
  }

  private EntryMessage declined() {
    DeclineReason reason = DeclineReason.valueOf(option("reason", "").toUpperCase(Locale.ROOT));
    return new EntryMessage.Declined(request(), upstream(), reason);
  }

  private EntryMessage running() {
    return new EntryMessage.StillRunning(ticket(), upstream(), tokens(), number("ms", 100));
  }

  private RequestId request() {
    return new RequestId(words[1]);
  }

  private UpstreamId upstream() {
    return new UpstreamId(words[2]);
  }

  private int tokens() {
    return (int) number("tokens", 50);
  }

  private VmId vm() {
    return new VmId(option("vm", PoolFixture.VM.value()));
  }

  private Set<VmId> vms() {
    Set<VmId> vms = new LinkedHashSet<>();
    Arrays.stream(words).skip(1).map(VmId::new).forEach(vms::add);
    return vms;
  }

  private String option(String name, String otherwise) {
    return options.getOrDefault(name, otherwise);
  }

  private long number(String name, long otherwise) {
    return Long.parseLong(options.getOrDefault(name, Long.toString(otherwise)));
  }

  private List<SchedulerAction> send(EntryMessage message) {
    return pool.send(vm(), message);
  }

  private void recordActions(List<SchedulerAction> actions) {
    for (SchedulerAction action : actions) {
      transcript.add("  " + pool.nowMs + " " + describe(action));
    }
  }

  private static String describe(SchedulerAction action) {
    if (action instanceof SchedulerAction.Send send) {
      return send.vm() + " <- " + describe(send.message());
    } else if (action instanceof SchedulerAction.CommitClaim commit) {
      return "commit claim of " + commit.ticket().request() + " for " + commit.upstream();
    } else if (action instanceof SchedulerAction.ReleaseClaim release) {
      return "release claim of " + release.request();
    }
    Decision decision = ((SchedulerAction.Log) action).decision();
    return "log " + decision.kind() + " " + decision.reason();
  }

  private static String describe(ControlMessage message) {
    if (message instanceof ControlMessage.Grant grant) {
      String life = " incarnation=" + grant.upstreamIncarnation();
      return "grant " + grant.request() + " " + grant.upstream() + life;
    }
    if (message instanceof ControlMessage.Recall recall) {
      return "recall " + recall.request() + " " + recall.upstream();
    }
    ControlMessage.Refused refused = (ControlMessage.Refused) message;
    String retry = " retry_after_ms=" + refused.retryAfterMs();
    return "refused " + refused.request() + " " + refused.kind() + retry;
  }
}
