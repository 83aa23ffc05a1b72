package org.teaseltrail.session;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;

/** Simulated TCP connection from an entry VM to a control member. */
final class ControlConnection {

  private final EntryProcess entry;
  private final ControlProcess member;
  private final Pipe memberPipe;
  private final Pipe entryPipe;
  private boolean entryOpen = true;
  private boolean memberOpen = true;

  ControlConnection(EntryProcess entry, ControlProcess member) {
    this.entry = entry;
    this.member = member;
    this.memberPipe = new Pipe(entry, member);
    this.entryPipe = new Pipe(member, entry);
  }

  EntryProcess entry() {
    return entry;
  }

  ControlProcess member() {
    return member;
  }

  void open() {
    memberPipe.send(() -> member.onConnectionOpened(this));
  }

  void sendToMember(EntryMessage message) {
    if (entryOpen) {
      memberPipe.send(() -> member.onMessage(entry.vm(), message));
    }
  }

  void sendToEntry(ControlMessage message) {
    if (memberOpen) {
      entryPipe.send(
          () -> {
            if (entryOpen) {
              entry.onControlMessage(member, message);
            }
          });
    }
  }

  /** Closes the connection from the entry VM's side; messages sent before still arrive. */
  void closeByEntry() {
    if (entryOpen) {
      entryOpen = false;
      memberPipe.send(
          () -> {
            memberOpen = false;
            member.onConnectionClosed(this);
          });
    }
  }

  void closeByMember() {
    if (memberOpen) {
      memberOpen = false;
      entryPipe.send(
          () -> {
            if (entryOpen) {
              entryOpen = false;
              entry.onDisconnected(this);
            }
          });
    }
  }
}
