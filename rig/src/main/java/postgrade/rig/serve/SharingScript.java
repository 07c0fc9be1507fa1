package postgrade.rig.serve;

import java.util.List;
import postgrade.rig.cluster.Cluster;

/** The scripts by which dispatchers of the rig share. */
public final class SharingScript {

    private SharingScript() {}

    /** Voters at their own ports, with nothing between. */
    public static DispatcherCluster.ScriptFactory direct(String more) {
        return (name, cluster, voters) -> script(name, cluster, voters, false) + more;
    }

    /** Each process finds the others through the proxies between. */
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
