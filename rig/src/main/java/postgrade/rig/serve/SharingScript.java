package postgrade.rig.serve;

import java.util.List;
import postgrade.rig.cluster.Cluster;

/** Sharing scripts of the dispatchers in the rig. */
public final class SharingScript {

    private SharingScript() {}

    /** Voters are reached directly at their own ports. */
    public static DispatcherCluster.ScriptFactory direct(String more) {
        return (name, cluster, voters) -> script(name, cluster, voters, false) + more;
    }

    /** Each process reaches the others through the proxies. */
    public static DispatcherCluster.ScriptFactory proxied(String more) {
        return (name, cluster, voters) -> script(name, cluster, voters, true) + more;
    }

    private static String script(
            String name, Cluster cluster, List<String> voters, boolean proxied) {
        StringBuilder text =
                new StringBuilder(
                        "name = \""
                                + name
                                + "\"\nstore = \""
                                + cluster.store(name).toAbsolutePath()
                                + "\"\nvoters = [\n");
        for (String voter : voters) {
            text.append("    voter(\"")
                    .append(voter)
                    .append("\", \"127.0.0.1\", ")
                    .append(cluster.port(proxied ? name : voter, voter))
                    .append("),\n");
        }
        return text.append("]\n").toString();
    }
}
