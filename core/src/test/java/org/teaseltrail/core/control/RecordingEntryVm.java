package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;

/** Entry VM that sends a Hello message twice a second and records the messages that it receives. */
final class RecordingEntryVm implements FakeControlGroup.Listener {

  private static final long HELLO_NS = 500_000_000L;

  private final FakeControlGroup group;
  private final VmId vm;
  private final List<ControlMessage> heard = new ArrayList<>();
  private Revision applied = new Revision(0);
  private boolean disconnected;
  private boolean ignoresConfigurations;
  private long sequence;
  private long incarnation = 1;

  RecordingEntryVm(FakeControlGroup group, VmId vm) {
    this.group = group;
    this.vm = vm;
    sendHello();
  }

  VmId vm() {
    return vm;
  }

  Revision applied() {
    return applied;
  }

  void setDisconnected(boolean isDisconnected) {
    disconnected = isDisconnected;
  }

  /**
   * Makes the VM receive all messages without applying configurations, like a VM that hangs while
   * it applies one.
   */
  void ignoreConfigurations() {
    ignoresConfigurations = true;
  }

  void restart() {
    incarnation++;
    applied = new Revision(0);
    heard.clear();
  }

  void send(FakeControlMember member, EntryMessage message) {
    group.send(vm, member, message);
  }

  @Override
  public void received(FakeControlMember from, ControlMessage message) {
    if (disconnected) {
      return;
    }
    heard.add(message);
    if (message instanceof ControlMessage.ConfigurationUpdate update && !ignoresConfigurations) {
      apply(update.configuration());
    } else if (message instanceof ControlMessage.Welcome welcome && welcome.reportsWanted()) {
      send(from, new EntryMessage.ReportsComplete(vm, welcome.fencing()));
    }
  }

  <T extends ControlMessage> List<T> heard(Class<T> type) {
    return heard.stream().filter(type::isInstance).map(type::cast).toList();
  }

  <T extends ControlMessage> Optional<T> last(Class<T> type) {
    List<T> all = heard(type);
    return all.isEmpty() ? Optional.empty() : Optional.of(all.get(all.size() - 1));
  }

  void clearReceived() {
    heard.clear();
  }

  private void apply(Configuration configuration) {
    if (configuration.revision().compareTo(applied) > 0) {
      applied = configuration.revision();
    }
    assertThat(applied).isGreaterThanOrEqualTo(configuration.revision());
  }

  private void sendHello() {
    if (!disconnected) {
      EntryMessage.Hello hello =
          new EntryMessage.Hello(
              vm, new Incarnation(incarnation), new DataCenterId("dc"), applied, ++sequence);
      group.members().forEach(member -> send(member, hello));
    }
    group.after(HELLO_NS, this::sendHello);
  }
}
