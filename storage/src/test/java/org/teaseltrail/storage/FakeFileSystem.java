package org.teaseltrail.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * In-memory file system with one folder. A simulated power loss drops or tears unsynced data, and
 * keeps or loses each file's unsynced creation, renaming and removal independently of other files.
 */
final class FakeFileSystem implements FileSystemAccess {

  private static final class Content {
    private byte[] present = new byte[0];
    private byte[] synced = new byte[0];
  }

  /** A change of the folder that concerns one file. */
  private record FolderChange(Content file, Consumer<Map<String, Content>> change) {}

  private final Map<String, Content> names = new TreeMap<>();
  private final Map<String, Content> syncedFiles = new TreeMap<>();
  private final List<FolderChange> unsyncedChanges = new ArrayList<>();
  private final Set<String> readNames = new HashSet<>();
  private int operationsUntilPowerLoss = Integer.MAX_VALUE;
  private int freeBytes = Integer.MAX_VALUE;
  private boolean ignoresSyncs;

  void losePowerAfterOperations(int steps) {
    operationsUntilPowerLoss = steps;
  }

  void limitFreeBytes(int bytes) {
    freeBytes = bytes;
  }

  /** Makes all syncs no-ops, so that tests can show that they are needed. */
  void ignoreSyncs() {
    ignoresSyncs = true;
  }

  /** Brings back a removed file. */
  void restore(String name, byte[] bytes) {
    Content restored = new Content();
    restored.present = bytes.clone();
    restored.synced = bytes.clone();
    names.put(name, restored);
    syncedFiles.put(name, restored);
  }

  void forgetReads() {
    readNames.clear();
  }

  Set<String> readNames() {
    return readNames;
  }

  byte[] content(String name) {
    return names.get(name).present;
  }

  void corrupt(String name, int offsetBytes) {
    names.get(name).present[offsetBytes] ^= 0x55;
  }

  /** Simulates a power loss and a restart. */
  void losePower(SplittableRandom random) {
    keepSomeUnsyncedChanges(random);
    names.clear();
    names.putAll(syncedFiles);
    names.values().forEach(content -> tearUnsyncedPart(content, random));
    operationsUntilPowerLoss = Integer.MAX_VALUE;
    freeBytes = Integer.MAX_VALUE;
  }

  /** Of the changes of one file a later one can't be kept without the earlier ones. */
  private void keepSomeUnsyncedChanges(SplittableRandom random) {
    Set<Content> cutOff = Collections.newSetFromMap(new IdentityHashMap<>());
    for (FolderChange unsynced : unsyncedChanges) {
      if (random.nextBoolean()) {
        cutOff.add(unsynced.file());
      }
      if (!cutOff.contains(unsynced.file())) {
        unsynced.change().accept(syncedFiles);
      }
    }
    unsyncedChanges.clear();
  }

  private static void tearUnsyncedPart(Content content, SplittableRandom random) {
    byte[] present = content.present;
    byte[] synced = content.synced;
    boolean grown = Arrays.mismatch(present, synced) == synced.length;
    if (!grown) {
      content.present = random.nextBoolean() ? present : synced;
    } else if (present.length > synced.length) {
      int kept = random.nextInt(synced.length, present.length + 1);
      content.present = Arrays.copyOf(present, kept);
      if (kept > synced.length && random.nextBoolean()) {
        content.present[random.nextInt(synced.length, kept)] = 0;
      }
    }
    content.synced = content.present.clone();
  }

  @Override
  public void createFolder(Path folder) {}

  @Override
  public List<String> list(Path folder) {
    return List.copyOf(names.keySet());
  }

  @Override
  public byte[] read(Path file) {
    readNames.add(nameOf(file));
    return names.get(nameOf(file)).present.clone();
  }

  @Override
  public AppendFile openAppend(Path file) throws IOException {
    String name = nameOf(file);
    if (!names.containsKey(name)) {
      step();
      Content made = new Content();
      change(made, map -> map.put(name, made));
    }
    return new FakeAppendFile(names.get(name));
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    step();
    Content moved = names.get(nameOf(from));
    change(
        moved,
        map -> {
          map.remove(nameOf(from));
          map.put(nameOf(to), moved);
        });
  }

  @Override
  public void delete(Path file) throws IOException {
    step();
    String name = nameOf(file);
    change(names.get(name), map -> map.remove(name));
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    step();
    if (!ignoresSyncs) {
      unsyncedChanges.forEach(unsynced -> unsynced.change().accept(syncedFiles));
      unsyncedChanges.clear();
    }
  }

  @Override
  public AutoCloseable lock(Path file) {
    return () -> {};
  }

  private void change(Content file, Consumer<Map<String, Content>> change) {
    change.accept(names);
    unsyncedChanges.add(new FolderChange(file, change));
  }

  private void step() throws IOException {
    if (operationsUntilPowerLoss == 0) {
      throw new IOException("power lost");
    }
    operationsUntilPowerLoss--;
  }

  private static String nameOf(Path file) {
    return file.getFileName().toString();
  }

  private final class FakeAppendFile implements AppendFile {

    private final Content content;

    FakeAppendFile(Content content) {
      this.content = content;
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      step();
      int fitting = Math.min(bytes.length, freeBytes);
      int before = content.present.length;
      content.present = Arrays.copyOf(content.present, before + fitting);
      System.arraycopy(bytes, 0, content.present, before, fitting);
      freeBytes -= fitting;
      if (fitting < bytes.length) {
        throw new IOException("No space left on device");
      }
    }

    @Override
    public void truncate(long sizeBytes) throws IOException {
      step();
      content.present = Arrays.copyOf(content.present, (int) sizeBytes);
    }

    @Override
    public void sync() throws IOException {
      step();
      if (!ignoresSyncs) {
        content.synced = content.present.clone();
      }
    }

    @Override
    public void close() {}
  }
}
