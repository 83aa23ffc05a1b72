package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.ForwardSettings;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.Plans;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.upstream.SocketAddress;

/** Holds a customer's quota over all entry VMs while some of them are cut off. */
class QuotaInCutTest {

  private static final long MS = 1_000_000L;
  private static final int VMS = 6;
  private static final int CUT_OFF = 2;
  private static final double RATE = 50_000;
  private static final double LIMIT = RATE * 9;
  private static final int TOKENS = 1_100;
  private static final FencingNumber TERM = new FencingNumber(1);
  private static final VmId MEMBER = new VmId("10.0.0.9:7600");

  private final QuotaLedger ledger = new QuotaLedger(8_000);
  private final List<ForwardNode> nodes = new ArrayList<>();
  private long lastNumber;

  private ForwardNode node(int number) {
    ForwardNode node =
        new ForwardNode(
            new ForwardSettings(
                new VmId("entry-" + number),
                new Incarnation(1),
                List.of(MEMBER),
                3_000,
                250,
                0.2,
                10_000,
                50,
                8_000,
                0,
                0,
                number));
    Registration upstream =
        new Registration(
            new UpstreamId("p1"),
            Plans.PLAIN,
            new SocketAddress("10.0.0.1", 80),
            new DataCenterId("a"),
            1_000_000,
            RegistrationPhase.READY,
            1);
    node.fromControl(
        new ServingReply.PlanUpdate(TERM, Plans.plan(1, Plans.customer(Plans.KEY, RATE))), 0);
    node.fromControl(new ServingReply.RegistryUpdate(TERM, 1, List.of(upstream)), 0);
    return node;
  }

  private void sync(ForwardNode node, long nowNs) {
    for (ForwardAction action : node.tick(nowNs)) {
      if (action instanceof ForwardAction.SendControl send) {
        ServingMessage.Sync sync = (ServingMessage.Sync) send.message();
        ledger.told(sync.vm(), sync.incarnation(), sync.quotaUsed(), sync.demandPerSecond(), nowNs);
        node.fromControl(
            new ServingReply.Confirmed(
                TERM,
                sync.sequence(),
                1,
                1,
                VMS,
                List.of(MEMBER),
                Map.of(),
                ledger.usedElsewhere(sync.vm(), nowNs),
                ledger.sharesOf(sync.vm())),
            nowNs);
      }
    }
  }

  private double ask(ForwardNode node, long nowNs) {
    lastNumber++;
    ForwardRequest request =
        new ForwardRequest(
            lastNumber,
            "id-" + lastNumber,
            Plans.HOST,
            "/unsafe/x",
            Optional.of(Plans.KEY),
            OptionalLong.empty(),
            OptionalInt.of(TOKENS),
            OptionalInt.of(0),
            List.of());
    boolean runs =
        node.arrived(request, nowNs).stream().anyMatch(ForwardAction.Dispatch.class::isInstance);
    return runs ? TOKENS : 0;
  }

  /**
   * Two of six entry VMs are cut off from the control members, and a customer sends many times its
   * usual at all of them. It runs half as much again as its quota allows. For 0.6 s the VMs cut off
   * go on with what they were told, then they use their part of the whole; the others meanwhile get
   * what these had not used when they were last heard of.
   */
  @Tag("known-red")
  @Test
  void vmsCutOffAndTheOthersKeepToOneQuota() {
    for (int i = 0; i < VMS; i++) {
      nodes.add(node(i));
    }
    double used = 0;
    for (long ms = 0; ms < 4_000; ms += 10) {
      boolean cut = ms >= 1_000;
      for (int i = 0; i < VMS; i++) {
        if (ms % 250 == 0 && !(cut && i < CUT_OFF)) {
          sync(nodes.get(i), ms * MS);
        }
        boolean asks = cut || ms % 500 == 0;
        used += asks ? ask(nodes.get(i), ms * MS) : 0;
      }
    }
    assertThat(used).isBetween(0.8 * LIMIT, 1.1 * LIMIT);
  }
}
