package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.teaseltrail.core.id.MemberId;

/**
 * Is the member set of a group: voters decide, learners only follow.
 *
 * @param voters the members whose syncs and votes count
 * @param learners the members that catch up and don't count
 */
public record Membership(List<Member> voters, List<Member> learners) {

  /** Copies the lists. */
  public Membership {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /**
   * Returns the member set of a member that has heard of no group yet.
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
   * Tells whether a member votes.
   *
   * @param id the member
   * @return true for voters
   */
  public boolean isVoter(MemberId id) {
    return voters.stream().anyMatch(member -> member.id().equals(id));
  }

  /**
   * Tells whether a member only follows.
   *
   * @param id the member
   * @return true for learners
   */
  public boolean isLearner(MemberId id) {
    return learners.stream().anyMatch(member -> member.id().equals(id));
  }

  /**
   * Tells whether a member belongs to the group.
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
   * Returns how many voters make a quorum.
   *
   * @return more than half of the voters
   */
  public int quorumCount() {
    return voters.size() / 2 + 1;
  }

  /**
   * Returns the set with one more learner.
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
   * Returns the set in which a learner votes.
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
