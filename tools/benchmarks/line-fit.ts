/** Slopes: what something costs for each one more of what drives it. */

/** One measurement. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line through measurements. */
export interface LineFit {
  readonly name: string;
  /** What is counted along the line, such as "replicas". */
  readonly variedQuantity: string;
  readonly unit: string;
  readonly points: readonly Point[];
  readonly intercept: number;
  readonly slope: number;
  /** The largest distance of a point from the line, over the line's value there. */
  readonly maximumRelativeError: number;
}

/**
 * Fits a line by least squares.
 *
 * @param name - What was measured.
 * @param variedQuantity - What was varied.
 * @param unit - The unit of what was measured.
 * @param points - Four measurements or more.
 * @returns The line and how far the points lie from it.
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

/**
 * Writes a number with three figures.
 *
 * @param value - The number.
 * @returns The text.
 */
export function formatThreeFigures(value: number): string {
  return Number(value.toPrecision(3)).toString();
}
