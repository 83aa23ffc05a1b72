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
 * Runs a session from its script: a line holds a time in milliseconds, a verb and its words; lines
 * that begin with a # tell the story. A call is
 *
 * <pre>
 * 100 call NAME ENTRY tier 1 prompt 40 tokens 20 [key KEY] [once] [deadline MS]
 * </pre>
 */
final class SessionScript {

  private final SessionWorld world;
  private final Map<String, Call> calls = new HashMap<>();
  private final Map<String, Submission> submissions = new HashMap<>();

  SessionScript(SessionWorld world) {
    this.world = world;
  }

  void run(List<String> lines) {
    long startNs = world.timeline().nowNs();
    for (String line : lines) {
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      Deque<String> words = new ArrayDeque<>(Arrays.asList(line.trim().split(" +")));
      long atNs = startNs + Long.parseLong(words.poll()) * Timeline.MS;
      world.timeline().runFor(atNs - world.timeline().nowNs());
      step(words.poll(), words);
    }
  }

  private void step(String verb, Deque<String> words) {
    switch (verb) {
      case "call" -> call(words);
      case "calls" -> calls(words);
      case "again" -> submit(calls.get(words.poll()), words.poll());
      case "hangup" -> hangUp(words.poll());
      case "break" -> breakConnection(words.poll());
      case "swap" -> disturb(words.poll(), EngineReader.Mischief.SWAP);
      case "double" -> disturb(words.poll(), EngineReader.Mischief.DOUBLE);
      case "foreign" -> disturb(words.poll(), EngineReader.Mischief.FOREIGN);
      case "end" -> world.callers().checkAtEnd();
      default -> fault(verb, words);
    }
  }

  private void fault(String verb, Deque<String> words) {
    if (verb.equals("change")) {
      change(words);
      return;
    }
    if (verb.equals("heal")) {
      world.trace().line("fault", verb);
      world.network().heal();
      return;
    }
    FakeProcess process = world.process(words.poll());
    world.trace().line("fault", verb + " " + process.name());
    switch (verb) {
      case "kill" -> process.kill();
      case "start" -> process.start();
      case "freeze" -> process.freeze();
      case "thaw" -> process.thaw();
      case "freeze-at-grant" -> ((ControlProcess) process).freezeAtNextGrant();
      case "isolate" -> world.processes().forEach(other -> world.network().cut(process, other));
      case "drain-vm" -> ((EntryProcess) process).drain();
      case "leave" -> ((EngineProcess) process).leave(() -> {});
      case "straggle" -> ((EngineProcess) process).straggle(Double.parseDouble(words.poll()));
      default -> throw new IllegalArgumentException("no such verb: " + verb);
    }
  }

  private void call(Deque<String> words) {
    String name = words.poll();
    String entry = words.poll();
    submit(new Call(spec(name, words)), entry);
  }

  /** Makes several calls at once, over all entry VMs in turn. */
  private void calls(Deque<String> words) {
    String name = words.poll();
    int count = Integer.parseInt(words.poll());
    CallSpec first = spec(name, words);
    for (int i = 1; i <= count; i++) {
      CallSpec spec =
          new CallSpec(
              name + i,
              first.tier(),
              first.promptTokens(),
              first.maxTokens(),
              first.key(),
              first.once(),
              first.deadlineMs());
      submit(new Call(spec), world.entries().get(i % world.entries().size()).name());
    }
  }

  private void submit(Call call, String entry) {
    calls.put(call.spec().name(), call);
    EntryProcess at = (EntryProcess) world.process(entry);
    submissions.put(call.spec().name(), world.callers().submit(call, at));
  }

  private static CallSpec spec(String name, Deque<String> words) {
    Map<String, String> given = new HashMap<>();
    boolean once = false;
    while (!words.isEmpty()) {
      String word = words.poll();
      if (word.equals("once")) {
        once = true;
      } else {
        given.put(word, words.poll());
      }
    }
    return new CallSpec(
        name,
        Integer.parseInt(given.get("tier")),
        Integer.parseInt(given.get("prompt")),
        Integer.parseInt(given.get("tokens")),
        Optional.ofNullable(given.get("key")),
        once,
        Long.parseLong(given.getOrDefault("deadline", "0")));
  }

  private void hangUp(String name) {
    world.trace().line("caller " + name, "hangs up");
    submissions.get(name).hangUp();
  }

  private void breakConnection(String name) {
    Submission submission = submissions.get(name);
    world.trace().line("fault", "break the connection of " + submission.id());
    submission.engine().breakConnections(submission.id());
  }

  private void disturb(String name, EngineReader.Mischief mischief) {
    Submission submission = submissions.get(name);
    world.trace().line("fault", mischief + " the next frame of " + submission.id());
    submission.engine().disturb(submission.id(), mischief);
  }

  /** Changes a tier's name ({@code ID REVISION rename NAME}) or drains an upstream. */
  private void change(Deque<String> words) {
    String id = words.poll();
    Optional<Revision> expected = Optional.of(new Revision(Long.parseLong(words.poll())));
    ConfigurationChange item =
        words.poll().equals("drain")
            ? new ConfigurationChange.SetDraining(new UpstreamId(words.poll()), true)
            : new ConfigurationChange.PutTier(new TierDefinition(new Tier(1), words.poll()));
    world.trace().line("operator", "sends change " + id + " for revision " + expected.get());
    world.operator().change(id, expected, List.of(item));
  }
}
