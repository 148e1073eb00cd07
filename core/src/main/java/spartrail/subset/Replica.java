package spartrail.subset;

/** A live server with its score in this node's order. All groups that contain the server share one object. */
final class Replica implements Comparable<Replica> {
    final String id;
    final String zone;
    final int cell;
    final double weight;
    final double score;
    /** The number of replica groups that have selected this server. */
    int selectedGroupCount;

    Replica(String id, String zone, int cell, double weight, double score) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.weight = weight;
        this.score = score;
    }

    @Override
    public int compareTo(Replica other) {
        int byScore = Double.compare(score, other.score);
        return byScore != 0 ? byScore : id.compareTo(other.id);
    }
}
