package spartrail.subset;

/** A live server in this node's order; the same object in each group that it belongs to. */
final class Replica implements Comparable<Replica> {
    final String id;
    final String zone;
    final int cell;
    final double weight;
    final double score;
    /** Groups of shards in whose subset it is. */
    int selectedIn;

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
