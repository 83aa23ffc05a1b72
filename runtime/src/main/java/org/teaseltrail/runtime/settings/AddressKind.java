package org.teaseltrail.runtime.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Parses an IP address with a port. Host names are rejected, because a DNS lookup could block the
 * program.
 */
record AddressKind() implements ValueKind<InetSocketAddress> {

  private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
  private static final Pattern IPV6 = Pattern.compile("\\[[0-9A-Fa-f:.]+]");
  private static final int MAX_PORT = 65_535;

  @Override
  public InetSocketAddress parse(String text) throws InvalidSettingValueException {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    boolean ipNumber = IPV4.matcher(host).matches() || IPV6.matcher(host).matches();
    if (!ipNumber) {
      throw valueException(SettingsProblemKind.INVALID_VALUE, text);
    }
    try {
      return new InetSocketAddress(InetAddress.getByName(host), port(text, colon));
    } catch (UnknownHostException e) {
      throw valueException(SettingsProblemKind.INVALID_VALUE, text);
    }
  }

  @Override
  public String description() {
    return "an address as ip:port, such as 10.0.0.1:7000 or [fd00::1]:7000";
  }

  private int port(String text, int colon) throws InvalidSettingValueException {
    String port = text.substring(colon + 1);
    if (!port.matches("\\d{1,9}")) {
      throw valueException(SettingsProblemKind.INVALID_VALUE, text);
    }
    int number = Integer.parseInt(port);
    if (number > MAX_PORT) {
      throw valueException(SettingsProblemKind.OUT_OF_RANGE, text);
    }
    return number;
  }

  private InvalidSettingValueException valueException(SettingsProblemKind kind, String text) {
    return new InvalidSettingValueException(kind, "'" + text + "'; takes " + description());
  }
}
