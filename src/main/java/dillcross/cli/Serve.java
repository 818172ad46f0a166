package dillcross.cli;

import dillcross.config.FaultyKey;
import dillcross.config.Given;
import dillcross.net.Address;
import dillcross.net.Node;
import dillcross.net.Rehearsal;
import dillcross.net.Roster;
import dillcross.sidecar.Core;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/** Puts the parts of one sidecar together and runs it until it is told to stop. */
final class Serve {
    private static final Logger LOG = Logger.getLogger(Serve.class.getName());

    private final Given given;

    private Serve(Given given) {
        this.given = given;
    }

    /** The exit status: 0 after a check, 1 where it can't start, 2 for a fault in the configuration. */
    static int run(String file, boolean check) throws InterruptedException {
        try {
            return new Serve(Given.file(file, System.getenv())).run(check);
        } catch (FaultyKey faulty) {
            LOG.severe("configuration: " + faulty.getMessage());
            return 2;
        } catch (IOException e) {
            LOG.severe("can't start: " + e.getMessage());
            return 1;
        }
    }

    private int run(boolean check) throws IOException, InterruptedException {
        Given settings = given.below("settings");
        InetSocketAddress listen = address("listen");
        address("discovery");
        LongSupplier clock = clock();
        Core core = new Core(settings.instance(given.seed()));
        if (!given.below("known").tree().isEmpty()) {
            Roster known = known();
            core.list(clock.getAsLong(), known.version(), true, known.entries(), false);
        }
        Node node = new Node(core, clock, settings.categories(), settings.mostTtlUs(), given.needed("discovery"),
                settings.connectUs(), settings.keepUs(), Math.min(given.descriptors(), allowed()));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                node.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "stop"));
        Rehearsal.run(settings.instance(0), settings.categories());
        node.start(listen);
        node.awaitReady();
        if (!check) {
            new CountDownLatch(1).await(); // the end comes by a signal
        }
        return 0;
    }

    private Roster known() {
        try {
            return Roster.of(given.below("known").tree());
        } catch (IllegalArgumentException e) {
            throw new FaultyKey("known", e.getMessage());
        }
    }

    private InetSocketAddress address(String key) {
        InetSocketAddress address = Address.parse(given.needed(key));
        if (address == null) {
            throw new FaultyKey(key, "not a numeric address and port: " + given.needed(key));
        }
        return address;
    }

    /** How many descriptors the system allows this process, where it tells. */
    private static int allowed() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
                if (line.startsWith("Max open files")) {
                    return Integer.parseInt(line.substring("Max open files".length()).trim().split(" +")[0]);
                }
            }
        } catch (IOException | NumberFormatException unknown) {
            LOG.fine("the limit of descriptors is not known");
        }
        return Integer.MAX_VALUE;
    }

    /** Whole microseconds since 1970, as the list counts starts, that never go back. */
    private static LongSupplier clock() {
        long startUs = System.currentTimeMillis() * 1000;
        long startNs = System.nanoTime();
        return () -> startUs + (System.nanoTime() - startNs) / 1000;
    }
}
