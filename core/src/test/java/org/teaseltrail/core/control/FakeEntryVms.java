package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.forward.ForwardSettings;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Member;

/**
 * Runs entry VMs that place requests themselves beside a control group, under its virtual time.
 * What they want done beside talking to members goes to the test's shell.
 */
final class FakeEntryVms {

  /** Carries out what a VM wants done at upstreams and callers. */
  interface Shell {
    void carryOut(int vm, ForwardAction action);
  }

  private final FakeControlGroup group;
  private final SplittableRandom random;
  private final Shell shell;
  private final List<ForwardNode> nodes = new ArrayList<>();
  private final long[] lives;
  private final boolean[] cut;

  FakeEntryVms(FakeControlGroup group, int count, SplittableRandom random, Shell shell) {
    this.group = group;
    this.random = random;
    this.shell = shell;
    lives = new long[count];
    cut = new boolean[count];
  }

  /** Starts all of them; the shell must be able to act by now. */
  void start() {
    for (int vm = 0; vm < lives.length; vm++) {
      nodes.add(null);
      restart(vm);
    }
  }

  int count() {
    return lives.length;
  }

  ForwardNode node(int vm) {
    return nodes.get(vm);
  }

  /** Returns which life a VM's process is in, from 1. */
  long life(int vm) {
    return lives[vm];
  }

  /** Starts a VM with nothing remembered. */
  void restart(int vm) {
    lives[vm]++;
    List<VmId> members = group.members().stream().map(FakeControl::member).map(Member::vm).toList();
    ForwardSettings settings =
        ForwardSamples.settings(name(vm), lives[vm], members, random.nextLong());
    nodes.set(vm, new ForwardNode(settings));
    long life = lives[vm];
    group.listenServing(
        name(vm),
        reply -> {
          if (life == lives[vm] && !cut[vm]) {
            carryOut(vm, nodes.get(vm).onControlMessage(reply, group.nowNs()));
          }
        });
    carryOut(vm, nodes.get(vm).start());
  }

  /** Cuts a VM off from all members, or joins it again. */
  void cut(int vm, boolean isCut) {
    cut[vm] = isCut;
  }

  /** Lets the VMs do what is due. */
  void tick() {
    for (int vm = 0; vm < lives.length; vm++) {
      if (group.nowNs() >= nodes.get(vm).nextWakeupNs()) {
        carryOut(vm, nodes.get(vm).tick(group.nowNs()));
      }
    }
  }

  void carryOut(int vm, List<ForwardAction> actions) {
    for (ForwardAction action : actions) {
      if (!(action instanceof ForwardAction.SendControl send)) {
        shell.carryOut(vm, action);
      } else if (!cut[vm]) {
        group.say(send.member(), send.message());
      }
    }
  }

  private static VmId name(int vm) {
    return new VmId("entry-" + vm);
  }
}
