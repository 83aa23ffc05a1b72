package org.teaseltrail.session;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Runs a session from a script. Each line holds a time in milliseconds, a verb and its arguments;
 * lines that begin with # are comments. The syntax of a call is
 *
 * <pre>
 * 100 call NAME ENTRY tier 1 prompt 40 tokens 20 [key KEY] [once] [deadline MS]
 * </pre>
 */
final class SessionScript {

  private final SimulatedCluster cluster;
  private final Map<String, Call> calls = new HashMap<>();
  private final Map<String, Submission> submissions = new HashMap<>();

  SessionScript(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void run(List<String> lines) {
    long startNs = cluster.timeline().nowNs();
    for (String line : lines) {
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      Deque<String> words = new ArrayDeque<>(Arrays.asList(line.trim().split(" +")));
      long atNs = startNs + Long.parseLong(words.poll()) * Timeline.MS;
      cluster.timeline().runFor(atNs - cluster.timeline().nowNs());
      step(words.poll(), words);
    }
  }

  private void step(String verb, Deque<String> words) {
    switch (verb) {
      case "call" -> call(words);
      case "calls" -> calls(words);
      case "again" -> submit(calls.get(words.poll()), words.poll());
      case "hangup" -> disconnect(words.poll());
      case "break" -> breakConnection(words.poll());
      case "swap" -> injectFrameFault(words.poll(), EngineStreamReader.FrameFault.SWAP);
      case "double" -> injectFrameFault(words.poll(), EngineStreamReader.FrameFault.DOUBLE);
      case "foreign" -> injectFrameFault(words.poll(), EngineStreamReader.FrameFault.FOREIGN);
      case "end" -> cluster.callers().checkAtEnd();
      default -> fault(verb, words);
    }
  }

  private void fault(String verb, Deque<String> words) {
    if (verb.equals("change")) {
      change(words);
      return;
    }
    if (verb.equals("heal")) {
      cluster.trace().addLine("fault", verb);
      cluster.network().heal();
      return;
    }
    SimulatedProcess process = cluster.process(words.poll());
    cluster.trace().addLine("fault", verb + " " + process.name());
    switch (verb) {
      case "kill" -> process.kill();
      case "start" -> process.start();
      case "freeze" -> process.pause();
      case "thaw" -> process.unpause();
      case "freeze-at-grant" -> ((ControlProcess) process).pauseBeforeNextGrant();
      case "isolate" ->
          cluster.processes().forEach(other -> cluster.network().partition(process, other));
      case "drain-vm" -> ((EntryProcess) process).drain();
      case "leave" -> ((EngineProcess) process).leave(() -> {});
      case "straggle" -> ((EngineProcess) process).slowDown(Double.parseDouble(words.poll()));
      default -> throw new IllegalArgumentException("unknown verb in session script: " + verb);
    }
  }

  private void call(Deque<String> words) {
    String name = words.poll();
    String entry = words.poll();
    submit(new Call(spec(name, words)), entry);
  }

  /** Sends several calls at once, distributed round-robin over the entry VMs. */
  private void calls(Deque<String> words) {
    String name = words.poll();
    int count = Integer.parseInt(words.poll());
    CallSpec template = spec(name, words);
    for (int i = 1; i <= count; i++) {
      CallSpec spec =
          new CallSpec(
              name + i,
              template.tier(),
              template.promptTokens(),
              template.maxTokens(),
              template.key(),
              template.atMostOnce(),
              template.deadlineMs());
      submit(new Call(spec), cluster.entries().get(i % cluster.entries().size()).name());
    }
  }

  private void submit(Call call, String entry) {
    calls.put(call.spec().name(), call);
    EntryProcess entryProcess = (EntryProcess) cluster.process(entry);
    submissions.put(call.spec().name(), cluster.callers().submit(call, entryProcess));
  }

  private static CallSpec spec(String name, Deque<String> words) {
    Map<String, String> options = new HashMap<>();
    boolean once = false;
    while (!words.isEmpty()) {
      String word = words.poll();
      if (word.equals("once")) {
        once = true;
      } else {
        options.put(word, words.poll());
      }
    }
    return new CallSpec(
        name,
        Integer.parseInt(options.get("tier")),
        Integer.parseInt(options.get("prompt")),
        Integer.parseInt(options.get("tokens")),
        Optional.ofNullable(options.get("key")),
        once,
        Long.parseLong(options.getOrDefault("deadline", "0")));
  }

  private void disconnect(String name) {
    cluster.trace().addLine("caller " + name, "hangs up");
    submissions.get(name).disconnect();
  }

  private void breakConnection(String name) {
    Submission submission = submissions.get(name);
    cluster.trace().addLine("fault", "break the connection of " + submission.id());
    submission.engine().breakConnections(submission.id());
  }

  private void injectFrameFault(String name, EngineStreamReader.FrameFault frameFault) {
    Submission submission = submissions.get(name);
    cluster.trace().addLine("fault", frameFault + " the next frame of " + submission.id());
    submission.engine().injectFrameFault(submission.id(), frameFault);
  }

  /** Changes a tier's name ({@code ID REVISION rename NAME}) or drains an upstream. */
  private void change(Deque<String> words) {
    String id = words.poll();
    Optional<Revision> expected = Optional.of(new Revision(Long.parseLong(words.poll())));
    ConfigurationChange item =
        words.poll().equals("drain")
            ? new ConfigurationChange.SetDraining(new UpstreamId(words.poll()), true)
            : new ConfigurationChange.PutTier(new TierDefinition(new Tier(1), words.poll()));
    cluster.trace().addLine("operator", "sends change " + id + " for revision " + expected.get());
    cluster.operator().change(id, expected, List.of(item));
  }
}
