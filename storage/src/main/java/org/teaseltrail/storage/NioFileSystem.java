package org.teaseltrail.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** Accesses the file system of the operating system through {@code java.nio}. */
public final class NioFileSystem implements FileSystemAccess {

  @Override
  public void createFolder(Path folder) throws IOException {
    Files.createDirectories(folder);
  }

  @Override
  public List<String> list(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(file -> file.getFileName().toString()).sorted().toList();
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  @Override
  public byte[] read(Path file) throws IOException {
    return Files.readAllBytes(file);
  }

  @Override
  public AppendFile openAppend(Path file) throws IOException {
    return new NioAppendFile(
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(Path file) throws IOException {
    Files.delete(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public AutoCloseable lock(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    boolean locked = false;
    try {
      locked = tryLock(channel) != null;
    } finally {
      if (!locked) {
        channel.close();
      }
    }
    if (!locked) {
      throw new FolderInUseException(file.getParent());
    }
    return channel;
  }

  /** Returns the lock, or null if it is held by another process or elsewhere in this one. */
  private static FileLock tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException e) {
      return null;
    }
  }

  private record NioAppendFile(FileChannel channel) implements AppendFile {

    /** The runtime copies each slice to native memory, which it then keeps for the thread. */
    private static final int SLICE_BYTES = 256 * 1024;

    @Override
    public void append(byte[] bytes) throws IOException {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.position() < bytes.length) {
        buffer.limit(Math.min(bytes.length, buffer.position() + SLICE_BYTES));
        channel.write(buffer);
      }
    }

    @Override
    public void truncate(long sizeBytes) throws IOException {
      channel.truncate(sizeBytes);
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
