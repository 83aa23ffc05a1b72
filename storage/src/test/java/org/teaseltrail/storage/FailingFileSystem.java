package org.teaseltrail.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Real file system that counts its open files and fails some of their operations if told to. */
final class FailingFileSystem implements FileSystemAccess {

  private final FileSystemAccess files = new NioFileSystem();
  private boolean truncateFails;
  private boolean closeFails;
  private int openFiles;

  void failTruncate(boolean fails) {
    truncateFails = fails;
  }

  void failClose(boolean fails) {
    closeFails = fails;
  }

  int openFiles() {
    return openFiles;
  }

  @Override
  public void createFolder(Path folder) throws IOException {
    files.createFolder(folder);
  }

  @Override
  public List<String> list(Path folder) throws IOException {
    return files.list(folder);
  }

  @Override
  public byte[] read(Path file) throws IOException {
    return files.read(file);
  }

  @Override
  public AppendFile openAppend(Path file) throws IOException {
    AppendFile opened = files.openAppend(file);
    openFiles++;
    return new CountedFile(opened);
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    files.rename(from, to);
  }

  @Override
  public void delete(Path file) throws IOException {
    files.delete(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    files.syncFolder(folder);
  }

  @Override
  public AutoCloseable lock(Path file) throws IOException {
    return files.lock(file);
  }

  private final class CountedFile implements AppendFile {

    private final AppendFile file;

    private CountedFile(AppendFile file) {
      this.file = file;
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      file.append(bytes);
    }

    @Override
    public void truncate(long sizeBytes) throws IOException {
      if (truncateFails) {
        throw new IOException("Input/output error");
      }
      file.truncate(sizeBytes);
    }

    @Override
    public void sync() throws IOException {
      file.sync();
    }

    @Override
    public void close() throws IOException {
      file.close();
      openFiles--;
      if (closeFails) {
        throw new IOException("Input/output error");
      }
    }
  }
}
