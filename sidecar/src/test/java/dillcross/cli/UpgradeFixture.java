package dillcross.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Replaces a process by a second one, both of which inherit the clients' listening socket. */
abstract class UpgradeFixture extends SidecarFixture {
  /**
   * A Perl script that opens a listening socket and starts the program with it as descriptor 0.
   * Once the file exists that the first argument names, the script starts a second such process.
   */
  private static final String PARENT_PROCESS =
      """
            use Socket; use POSIX ();
            socket(S, PF_INET, SOCK_STREAM, 0) && bind(S, sockaddr_in(0, INADDR_LOOPBACK)) && listen(S, 1024) or die;
            my ($port) = sockaddr_in(getsockname(S));
            POSIX::dup2(fileno(S), 0);
            $| = 1;
            my $go = shift;
            for my $round (1, 2) {
                my $pid = fork();
                exec(@ARGV) if $pid == 0;
                print "pid $pid port $port\n";
                select(undef, undef, undef, 0.02) until $round == 2 || -e $go;
            }
            1 while wait() > 0;
            """;

  /** The port for clients, of both processes. */
  int clientPort;

  private BufferedReader parentOutput;
  private ProcessHandle first;

  private Path startSecond() {
    return folder.resolve("go");
  }

  /** Starts the first process with endpoint A, and waits until it is ready. */
  void startFirstProcess() throws IOException {
    startFirstProcess(new TestConfig(entryOfA()).requestClass(NON_IDEMPOTENT_CLASS));
  }

  /** Starts the first process, and waits until it is ready. */
  void startFirstProcess(TestConfig config) throws IOException {
    start(
        config.adminAddress("127.0.0.1:0"),
        List.of("perl", "-e", PARENT_PROCESS, startSecond().toString()),
        Map.of("NODE_FD", "0", "TMPDIR", folder.toString()));
    sidecar.awaitReady();
    parentOutput =
        new BufferedReader(
            new InputStreamReader(sidecar.process.getInputStream(), StandardCharsets.US_ASCII));
    String[] pidAndPort = parentOutput.readLine().split(" "); // pid N port N
    first = processOf(pidAndPort);
    clientPort = Integer.parseInt(pidAndPort[3]);
  }

  private static ProcessHandle processOf(String[] pidAndPort) {
    return ProcessHandle.of(Long.parseLong(pidAndPort[1])).orElseThrow();
  }

  /** Starts the second process beside the first, and waits until it is ready. */
  ProcessHandle startSecondProcess() throws IOException {
    int firstAdminPort = sidecar.adminPort;
    Files.createFile(startSecond());
    sidecar.awaitReady();
    assertTrue(sidecar.adminPort != firstAdminPort, "each process has its own admin endpoint");
    return processOf(parentOutput.readLine().split(" "));
  }

  /** The process that was started first. */
  ProcessHandle firstProcess() {
    return first;
  }

  /** Sends the first process SIGTERM. */
  ProcessHandle terminateFirstProcess() {
    assertTrue(first.isAlive() && first.destroy());
    return first;
  }
}
