package spartrail.lab.plan;

import java.util.List;

/**
 * The intended rate of arrivals over the time of a phase. The integral of each shape is computed in closed form, since
 * arrivals are placed by inverting it; no shape is approximated by steps.
 */
public interface Rate {
    /** Arrivals a second, {@code ms} after the start of the phase. */
    double perS(double ms, double lastsMs);

    /** Expected number of arrivals in the first {@code ms} of the phase. */
    double expectedUntil(double ms, double lastsMs);

    /** A constant rate. */
    record Steady(double perS) implements Rate {
        @Override
        public double perS(double ms, double lastsMs) {
            return perS;
        }

        @Override
        public double expectedUntil(double ms, double lastsMs) {
            return perS * ms / 1000;
        }
    }

    /** A rate that changes linearly over the phase. */
    record Ramp(double fromPerS, double toPerS) implements Rate {
        @Override
        public double perS(double ms, double lastsMs) {
            return fromPerS + (toPerS - fromPerS) * ms / lastsMs;
        }

        @Override
        public double expectedUntil(double ms, double lastsMs) {
            return (fromPerS * ms + (toPerS - fromPerS) * ms * ms / (2 * lastsMs)) / 1000;
        }
    }

    /** Constant levels of equal length, one after the other. */
    record Step(List<Double> levelsPerS) implements Rate {
        @Override
        public double perS(double ms, double lastsMs) {
            return levelsPerS.get((int) Math.min(levelsPerS.size() - 1, ms * levelsPerS.size() / lastsMs));
        }

        @Override
        public double expectedUntil(double ms, double lastsMs) {
            double levelMs = lastsMs / levelsPerS.size();
            double sum = 0;
            for (int i = 0; i < levelsPerS.size() && ms > i * levelMs; i++) {
                sum += levelsPerS.get(i) * Math.min(levelMs, ms - i * levelMs) / 1000;
            }
            return sum;
        }
    }

    /** Alternately on and off, beginning with on. */
    record Burst(double onPerS, double onMs, double offPerS, double offMs) implements Rate {
        @Override
        public double perS(double ms, double lastsMs) {
            return ms % (onMs + offMs) < onMs ? onPerS : offPerS;
        }

        @Override
        public double expectedUntil(double ms, double lastsMs) {
            double periods = Math.floor(ms / (onMs + offMs));
            double restMs = ms - periods * (onMs + offMs);
            return (periods * (onPerS * onMs + offPerS * offMs)
                            + onPerS * Math.min(restMs, onMs)
                            + offPerS * Math.max(0, restMs - onMs))
                    / 1000;
        }
    }

    /** A sine around a mean. */
    record Wave(double meanPerS, double swingPerS, double periodMs) implements Rate {
        @Override
        public double perS(double ms, double lastsMs) {
            return meanPerS + swingPerS * Math.sin(2 * Math.PI * ms / periodMs);
        }

        @Override
        public double expectedUntil(double ms, double lastsMs) {
            double radiansPerMs = 2 * Math.PI / periodMs;
            return (meanPerS * ms + swingPerS / radiansPerMs * (1 - Math.cos(radiansPerMs * ms))) / 1000;
        }
    }

    /** Zero before {@code atMs}, then a peak that halves with each half-life. */
    record Spike(double peakPerS, double atMs, double halfLifeMs) implements Rate {
        @Override
        public double perS(double ms, double lastsMs) {
            return ms < atMs ? 0 : peakPerS * Math.pow(0.5, (ms - atMs) / halfLifeMs);
        }

        @Override
        public double expectedUntil(double ms, double lastsMs) {
            return ms < atMs
                    ? 0
                    : peakPerS * halfLifeMs / Math.log(2) * (1 - Math.pow(0.5, (ms - atMs) / halfLifeMs)) / 1000;
        }
    }

    /** The sum of several rates. */
    record Sum(List<Rate> rates) implements Rate {
        @Override
        public double perS(double ms, double lastsMs) {
            return rates.stream().mapToDouble(rate -> rate.perS(ms, lastsMs)).sum();
        }

        @Override
        public double expectedUntil(double ms, double lastsMs) {
            double sum = 0;
            for (Rate rate : rates) {
                sum += rate.expectedUntil(ms, lastsMs);
            }
            return sum;
        }
    }
}
