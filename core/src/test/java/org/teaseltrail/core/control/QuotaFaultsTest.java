package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests that a customer's quota holds over all entry VMs while some of them are partitioned or
 * restarted.
 */
class QuotaFaultsTest extends QuotaTestBase {

  /**
   * Two of six entry VMs are partitioned from the control members, and a customer sends many times
   * its usual load to all of them. It would get one and a half times its quota if the partitioned
   * VMs used their part of the whole quota while the others received what these had not used at
   * their last report.
   */
  @Test
  void partitionedAndConnectedVmsShareOneQuota() {
    for (int i = 0; i < VMS; i++) {
      nodes.add(node(i));
    }
    double used = 0;
    for (long ms = 0; ms < 4_000; ms += 10) {
      boolean partitioned = ms >= 1_000;
      for (int i = 0; i < VMS; i++) {
        if (!(partitioned && i < PARTITIONED_VMS)) {
          used += sync(nodes.get(i), ms * MS);
        }
        boolean isSending = partitioned || ms % 500 == 0;
        used += isSending ? sendRequest(nodes.get(i), ms * MS) : 0;
      }
    }
    assertThat(used).isBetween(0.8 * LIMIT, 1.1 * LIMIT);
  }

  /**
   * Two of six entry VMs are killed after a customer has used its quota there, and another member
   * becomes leader. It does not know what the dead VMs had used and must not allocate the whole
   * quota to the others.
   */
  @Test
  void newLeaderReservesAllowanceOfDeadVms() {
    for (int i = 0; i < VMS; i++) {
      nodes.add(node(i));
    }
    double used = 0;
    for (long ms = 0; ms < 4_000; ms += 10) {
      boolean dead = ms >= 1_000;
      if (ms == 1_000) {
        leaderChanges(ms * MS);
      }
      for (int i = dead ? PARTITIONED_VMS : 0; i < VMS; i++) {
        used += sync(nodes.get(i), ms * MS);
        boolean isSending = ms >= 500;
        used += isSending ? sendRequest(nodes.get(i), ms * MS) : 0;
      }
    }
    assertThat(used).isBetween(0.8 * LIMIT, 1.1 * LIMIT);
  }

  /**
   * The leader's replies to two of six VMs are lost while their own messages arrive. If the leader
   * counted the smaller allowance that it has granted last, it would allocate the rest to the
   * others while the two VMs still use the greater allowance that they know of.
   */
  @Test
  void lostAnswersCountWithTheGreaterAllowance() {
    for (int i = 0; i < VMS; i++) {
      nodes.add(node(i));
    }
    double used = 0;
    for (long ms = 0; ms < 4_000; ms += 10) {
      boolean lost = ms >= 500;
      for (int i = 0; i < VMS; i++) {
        boolean losesReplies = lost && i < PARTITIONED_VMS;
        used += sync(nodes.get(i), !losesReplies, ms * MS);
        boolean isSending = losesReplies ? ms >= 2_000 : lost;
        used += isSending ? sendRequest(nodes.get(i), ms * MS) : 0;
      }
    }
    assertThat(used).isBetween(0.8 * LIMIT, 1.1 * LIMIT);
  }

  /**
   * One VM is restarted repeatedly, and a customer uses the VM's allowance each time. If each
   * incarnation started with an empty account, the customer would get several times its quota.
   */
  @Test
  void restartsGrantNoAdditionalQuota() {
    for (int i = 0; i < VMS; i++) {
      nodes.add(node(i));
    }
    double used = 0;
    for (long ms = 0; ms < 6_000; ms += 10) {
      if (ms % 1_000 == 990) {
        nodes.set(0, node(0, ms));
      }
      for (int i = 0; i < VMS; i++) {
        used += sync(nodes.get(i), ms * MS);
        used += i == 0 ? sendRequest(nodes.get(i), ms * MS) : 0;
      }
    }
    assertThat(used).isBetween(0.6 * LIMIT, 1.1 * LIMIT);
  }

  /**
   * Callers use half of their quota continuously. All control members fail and come back after
   * almost a session's lifetime. If VMs had only the allowance granted by a leader, all callers
   * would be refused as over their quota one second after the failure, when that allowance is used
   * up.
   */
  @Test
  void callersWithinQuotaAreServedWithoutLeader() {
    for (int i = 0; i < VMS; i++) {
      nodes.add(node(i));
    }
    double asked = 0;
    double used = 0;
    for (long ms = 0; ms < 12_900; ms += 10) {
      boolean hasLeader = ms < 10_000;
      for (int i = 0; i < VMS; i++) {
        if (hasLeader) {
          sync(nodes.get(i), ms * MS);
        }
        boolean isSending = (ms / 10 + i) % 26 == 0;
        double ran = isSending ? sendRequest(nodes.get(i), ms * MS) : 0;
        asked += isSending && !hasLeader ? TOKENS : 0;
        used += hasLeader ? 0 : ran;
      }
    }
    assertThat(asked / 2.9).isBetween(0.45 * RATE, 0.55 * RATE);
    assertThat(used).isEqualTo(asked);
  }

  /**
   * All VMs and members restart after a power loss, and callers arrive immediately. If nothing were
   * allocated while the leader waits for the VMs' reports, all callers would be refused as over
   * their quota although none of it is used.
   */
  @Test
  void callersAreServedAtOnceAfterAllWereRestarted() {
    reserved = LIMIT / 30;
    for (int i = 0; i < VMS; i++) {
      nodes.add(node(i));
    }
    double asked = 0;
    double used = 0;
    for (long ms = 0; ms < 400; ms += 10) {
      for (int i = 0; i < VMS; i++) {
        used += sync(nodes.get(i), ms * MS);
        boolean isSending = ms >= 100 && (ms / 10 + i) % 26 == 0;
        asked += isSending ? TOKENS : 0;
        used += isSending ? sendRequest(nodes.get(i), ms * MS) : 0;
      }
    }
    assertThat(asked).isBetween(0.4 * reserved, reserved);
    assertThat(used).isGreaterThanOrEqualTo(0.8 * asked);
  }

  /**
   * While there is a VM that kept its state, a new VM must receive no quota before all VMs have
   * reported.
   */
  @Test
  void reserveIsNotAllocatedWhileAnyVmHasState() {
    reserved = LIMIT / 30;
    nodes.add(node(0));
    nodes.add(node(1));
    for (long ms = 0; ms < 1_000; ms += 10) {
      sync(nodes.get(0), ms * MS);
    }
    leaderChanges(1_000 * MS);
    double used = 0;
    for (long ms = 1_000; ms < 1_400; ms += 10) {
      sync(nodes.get(0), ms * MS);
      boolean otherReports = ms >= 1_250;
      used += otherReports ? sync(nodes.get(1), ms * MS) + sendRequest(nodes.get(1), ms * MS) : 0;
    }
    assertThat(used).isZero();
  }
}
