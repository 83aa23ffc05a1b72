package org.teaseltrail.core.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.teaseltrail.core.claim.ClaimKey;
import org.teaseltrail.core.claim.ClaimLimits;
import org.teaseltrail.core.claim.OpenClaimResult;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.control.Samples;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.state.Command.AdoptClaim;
import org.teaseltrail.core.state.Command.ChangeConfiguration;
import org.teaseltrail.core.state.Command.CompleteClaim;
import org.teaseltrail.core.state.Command.ExpireClaims;
import org.teaseltrail.core.state.Command.OpenClaim;
import org.teaseltrail.core.state.Command.ReleaseClaim;

class ClusterStateProperties {

  private static final ClaimLimits LIMITS = new ClaimLimits(4, 60, 30);

  /**
   * Members that apply the same log have equal states, although one of them is restored from a
   * snapshot after each command.
   */
  @Property(seed = "41", tries = 300)
  void statesAgreeAfterSnapshotAndRestore(@ForAll("logs") List<Command> log) {
    ClusterState plain = new ClusterState(ClusterSnapshot.empty());
    ClusterState restored = new ClusterState(ClusterSnapshot.empty());
    Revision last = new Revision(0);
    for (Command command : log) {
      assertThat(restored.apply(command)).isEqualTo(plain.apply(command));
      restored = new ClusterState(restored.snapshot());
      assertThat(restored.snapshot()).isEqualTo(plain.snapshot());
      assertThat(plain.configuration().revision()).isGreaterThanOrEqualTo(last);
      last = plain.configuration().revision();
    }
  }

  /**
   * A change that is retried under its id always receives the first result, and the retry doesn't
   * change the configuration.
   */
  @Property(seed = "42", tries = 300)
  void resentChangeReturnsFirstResult(@ForAll("logs") List<Command> log) {
    ClusterState state = new ClusterState(ClusterSnapshot.empty());
    Map<ChangeConfiguration, CommandResult> first = new HashMap<>();
    for (Command command : log) {
      Revision before = state.configuration().revision();
      CommandResult result = state.apply(command);
      if (command instanceof ChangeConfiguration change) {
        ChangeConfiguration timeless =
            new ChangeConfiguration(change.change(), change.expected(), change.items(), 0);
        CommandResult known = first.putIfAbsent(timeless, result);
        if (known != null) {
          assertThat(result).isEqualTo(known);
          assertThat(state.configuration().revision()).isEqualTo(before);
        }
      }
    }
  }

  /** Until a claim is released or expires, only its holder can open its key. */
  @Property(seed = "43", tries = 500)
  void keyHasAtMostOneHolder(@ForAll("logs") List<Command> log) {
    ClusterState state = new ClusterState(ClusterSnapshot.empty());
    Map<ClaimKey, RequestId> holders = new HashMap<>();
    for (Command command : log) {
      CommandResult result = state.apply(command);
      holders.keySet().removeIf(key -> state.claims().find(key).isEmpty());
      if (command instanceof OpenClaim open
          && ((CommandResult.OpenClaimOutcome) result).result() instanceof OpenClaimResult.Opened) {
        RequestId before = holders.put(open.key(), open.holder());
        assertThat(before == null || before.equals(open.holder())).isTrue();
      }
    }
  }

  @Provide
  Arbitrary<List<Command>> logs() {
    Arbitrary<Integer> small = Arbitraries.integers().between(1, 5);
    Arbitrary<Command> changes =
        Combinators.combine(small, small, small, small).as(ClusterStateProperties::change);
    Arbitrary<Command> opens =
        Combinators.combine(small, small, small).as(ClusterStateProperties::open);
    Arbitrary<Command> others =
        Combinators.combine(small, small, small).as(ClusterStateProperties::other);
    return Arbitraries.frequencyOf(Tuple.of(3, changes), Tuple.of(3, opens), Tuple.of(2, others))
        .list()
        .ofMaxSize(60)
        .map(ClusterStateProperties::timed);
  }

  private static Command change(int id, int expected, int kind, int tier) {
    ConfigurationChange item =
        switch (kind) {
          case 1 -> new ConfigurationChange.RemoveTier(new Tier(tier));
          case 2 -> Samples.customer("c" + id, tier);
          default -> Samples.tier(tier);
        };
    Optional<Revision> guard =
        expected > 3 ? Optional.empty() : Optional.of(new Revision(expected - 1));
    return new ChangeConfiguration(new ChangeId("id" + id + tier), guard, List.of(item), 0);
  }

  private static Command open(int key, int holder, int upstream) {
    // A request has the same key throughout its life, so its id contains the key.
    return new OpenClaim(
        key(key),
        "d" + upstream / 5,
        holder % 2 == 0,
        holder(key, holder),
        new VmId("e" + holder),
        new UpstreamId("u" + upstream),
        0);
  }

  private static Command other(int key, int holder, int kind) {
    RequestId request = holder(key, holder);
    return switch (kind) {
      case 1 -> new ReleaseClaim(request, holder % 2 + 1, 0);
      case 2 -> new AdoptClaim(request, new VmId("e9"), 0);
      case 3 -> new CompleteClaim(request, EndKind.COMPLETED, 0);
      case 4 -> new CompleteClaim(request, EndKind.FAILED, 0);
      default -> new ExpireClaims(LIMITS, 0);
    };
  }

  private static ClaimKey key(int key) {
    return new ClaimKey(new CustomerId("c"), new IdempotencyKey("k" + key));
  }

  private static RequestId holder(int key, int holder) {
    return new RequestId("r" + key + "-" + holder);
  }

  private static List<Command> timed(List<Command> commands) {
    List<Command> timed = new ArrayList<>();
    for (int i = 0; i < commands.size(); i++) {
      timed.add(at(commands.get(i), i * 5L));
    }
    return timed;
  }

  private static Command at(Command command, long ms) {
    if (command instanceof ChangeConfiguration c) {
      return new ChangeConfiguration(c.change(), c.expected(), c.items(), ms);
    }
    if (command instanceof OpenClaim c) {
      return new OpenClaim(
          c.key(), c.bodyDigest(), c.nonIdempotent(), c.holder(), c.vm(), c.upstream(), ms);
    }
    if (command instanceof CompleteClaim c) {
      return new CompleteClaim(c.holder(), c.kind(), ms);
    }
    if (command instanceof ReleaseClaim c) {
      return new ReleaseClaim(c.holder(), c.attempt(), ms);
    }
    if (command instanceof AdoptClaim c) {
      return new AdoptClaim(c.holder(), c.vm(), ms);
    }
    return new ExpireClaims(((ExpireClaims) command).limits(), ms);
  }
}
