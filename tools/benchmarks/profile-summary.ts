/**
 * Sums a processor profile by part of the program: each sample counts for the innermost folder of ours that
 * was running, which shared helpers and packages work for, or else for the part of Node.js that was.
 */

/** A function of a processor profile, as the inspector writes it. */
export interface ProfileNode {
  readonly id: number;
  readonly callFrame: { readonly functionName: string; readonly url: string };
  readonly children?: readonly number[];
}

/** A processor profile, as the inspector writes it. */
export interface Profile {
  readonly nodes: readonly ProfileNode[];
  /** The id of the function that was running, for each sample. */
  readonly samples: readonly number[];
}

/** A part of the program and its share of the samples that were not idle. */
export interface PartShare {
  readonly part: string;
  readonly share: number;
}

const IDLE = '(idle)';
const OWN_PART = /\/dist\/(src\/[^/]+|platform)\//;
/** What other folders call; counts for them where they are known. */
const HELPER_PART = 'src/common';
const PACKAGE = /\/node_modules\/((?:@[^/]+\/)?[^/]+)\//;

/** Names the part that a function belongs to by itself; undefined for built-in functions without a file. */
function findPart({ callFrame: { url, functionName } }: ProfileNode): string | undefined {
  const [, own] = OWN_PART.exec(url) ?? [];
  if (own) return own;
  const [, name] = PACKAGE.exec(url) ?? [];
  if (name) return `package ${name}`;
  if (url.startsWith('node:')) return url;
  return functionName.startsWith('(') && functionName !== '(root)' ? functionName : undefined;
}

/**
 * Names the part that a sample counts for.
 *
 * @param stack - The functions that were running, the innermost first.
 * @returns The part.
 */
function attribute(stack: readonly ProfileNode[]): string {
  const parts = stack.flatMap((node) => findPart(node) ?? []);
  const own = parts.filter((part) => /^(src\/|platform$)/.test(part));
  return own.find((part) => part !== HELPER_PART) ?? own[0] ?? parts[0] ?? 'unknown';
}

/**
 * Sums a profile.
 *
 * @param profile - The profile.
 * @returns The parts, the largest first.
 */
export function summarizeProfile({ nodes, samples }: Profile): PartShare[] {
  const nodesById = new Map(nodes.map((node) => [node.id, node]));
  const parents = new Map(
    nodes.flatMap((node) => (node.children ?? []).map((child) => [child, node.id] as const)),
  );
  const listStack = (id: number | undefined): ProfileNode[] => {
    const node = id === undefined ? undefined : nodesById.get(id);
    return node ? [node, ...listStack(parents.get(node.id))] : [];
  };
  const partsByNode = new Map(nodes.map(({ id }) => [id, attribute(listStack(id))]));
  const counts = new Map<string, number>();
  samples.forEach((id) => {
    const part = partsByNode.get(id) ?? 'unknown';
    if (part !== IDLE) counts.set(part, (counts.get(part) ?? 0) + 1);
  });
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  return [...counts]
    .map(([part, count]) => ({ part, share: count / total }))
    .sort((one, other) => other.share - one.share);
}
