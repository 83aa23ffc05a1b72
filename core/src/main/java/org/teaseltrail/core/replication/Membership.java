package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.teaseltrail.core.id.MemberId;

/**
 * Member set of a Raft group: voters form quorums, learners only replicate the log.
 *
 * @param voters members that count towards quorums for commits and elections
 * @param learners members that receive the log without counting towards quorums
 */
public record Membership(List<Member> voters, List<Member> learners) {

  /** Copies the lists. */
  public Membership {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /**
   * Returns the member set of a member that hasn't yet received the log of a group.
   *
   * @return the empty set
   */
  public static Membership empty() {
    return new Membership(List.of(), List.of());
  }

  /**
   * Returns the member set of a new group.
   *
   * @param founder the only voter
   * @return the set
   */
  public static Membership of(Member founder) {
    return new Membership(List.of(founder), List.of());
  }

  /**
   * Returns whether a member is a voter.
   *
   * @param id the member
   * @return true for voters
   */
  public boolean isVoter(MemberId id) {
    return voters.stream().anyMatch(member -> member.id().equals(id));
  }

  /**
   * Returns whether a member is a learner.
   *
   * @param id the member
   * @return true for learners
   */
  public boolean isLearner(MemberId id) {
    return learners.stream().anyMatch(member -> member.id().equals(id));
  }

  /**
   * Returns whether a member belongs to the group.
   *
   * @param id the member
   * @return true for voters and learners
   */
  public boolean contains(MemberId id) {
    return find(id).isPresent();
  }

  /**
   * Finds a member.
   *
   * @param id the member's id
   * @return the member, if it belongs to the group
   */
  public Optional<Member> find(MemberId id) {
    return all().filter(member -> member.id().equals(id)).findFirst();
  }

  /**
   * Returns voters and learners.
   *
   * @return all members
   */
  public Stream<Member> all() {
    return Stream.concat(voters.stream(), learners.stream());
  }

  /**
   * Returns the number of voters in a quorum.
   *
   * @return more than half of the voters
   */
  public int quorumCount() {
    return voters.size() / 2 + 1;
  }

  /**
   * Returns the member set with an additional learner.
   *
   * @param learner the new member
   * @return the changed set
   */
  Membership withLearner(Member learner) {
    List<Member> changed = new ArrayList<>(learners);
    changed.add(learner);
    return new Membership(voters, changed);
  }

  /**
   * Returns the member set with a learner promoted to voter.
   *
   * @param learner the member
   * @return the changed set
   */
  Membership withVoter(Member learner) {
    List<Member> changed = new ArrayList<>(voters);
    changed.add(learner);
    return new Membership(changed, others(learners, learner.id()));
  }

  /**
   * Returns the set without a member.
   *
   * @param id the member
   * @return the changed set
   */
  Membership without(MemberId id) {
    return new Membership(others(voters, id), others(learners, id));
  }

  private static List<Member> others(List<Member> members, MemberId id) {
    return members.stream().filter(member -> !member.id().equals(id)).toList();
  }
}
