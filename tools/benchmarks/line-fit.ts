/** Fits a straight line to measured costs; its slope is the cost of each additional unit. */

/** One measurement: the varied quantity `x` and the cost `y`. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to measurements. */
export interface LineFit {
  readonly name: string;
  /** What `x` counts, such as "replicas". */
  readonly variedQuantity: string;
  /** The unit of `y`. */
  readonly unit: string;
  readonly points: readonly Point[];
  readonly intercept: number;
  readonly slope: number;
  /** The largest distance of a point from the line, divided by the line's value there. */
  readonly maximumRelativeError: number;
}

/**
 * Fits a line by least squares.
 *
 * @param name - What was measured, as printed in the report.
 * @param variedQuantity - What `x` counts.
 * @param unit - The unit of `y`.
 * @param points - Four or more measurements, not all with the same `x`.
 * @returns The line and the largest relative distance of a point from it.
 */
export function fitLine(
  name: string,
  variedQuantity: string,
  unit: string,
  points: readonly Point[],
): LineFit {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const relativeErrors = points.map(({ x, y }) => {
    const fitted = intercept + slope * x;
    return Math.abs(y - fitted) / Math.max(Math.abs(fitted), 1e-9);
  });
  return {
    name,
    variedQuantity,
    unit,
    points,
    intercept,
    slope,
    maximumRelativeError: Math.max(...relativeErrors),
  };
}

/** Formats a number with three significant figures. */
export function formatThreeFigures(value: number): string {
  return Number(value.toPrecision(3)).toString();
}
