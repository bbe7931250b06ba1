import { parse } from 'ini';

/** A key that was added, removed or changed between two documents. */
export type Difference =
  | { readonly kind: 'added'; readonly key: string; readonly to: string }
  | { readonly kind: 'removed'; readonly key: string; readonly from: string }
  | { readonly kind: 'changed'; readonly key: string; readonly from: string; readonly to: string };

/** Compares two INI documents key by key, ignoring order and comments. The result is sorted by key. */
export function diffDocuments(before: string, after: string): readonly Difference[] {
  return diffValues(parse(before), parse(after));
}

/** Compares two values of nested records key by key; an undefined value counts as absent. The result is sorted by key. */
export function diffValues(before: unknown, after: unknown): readonly Difference[] {
  const left = flatten(before);
  const right = flatten(after);
  const keys = [...new Set([...left.keys(), ...right.keys()])].sort();
  return keys.flatMap((key): readonly Difference[] => {
    const from = left.get(key);
    const to = right.get(key);
    if (from === to) return [];
    if (from === undefined) return [{ kind: 'added', key, to: to ?? '' }];
    if (to === undefined) return [{ kind: 'removed', key, from }];
    return [{ kind: 'changed', key, from, to }];
  });
}

/** Formats a difference as one line of text. */
export function describeDifference(difference: Difference): string {
  switch (difference.kind) {
    case 'added':
      return `+ ${difference.key} = ${difference.to}`;
    case 'removed':
      return `- ${difference.key} = ${difference.from}`;
    case 'changed':
      return `~ ${difference.key} = ${difference.from} -> ${difference.to}`;
  }
}

function flatten(value: unknown, path: readonly string[] = []): Map<string, string> {
  if (value === undefined) return new Map();
  if (typeof value !== 'object' || value === null) return new Map([[path.join('.'), String(value)]]);
  return new Map(Object.entries(value).flatMap(([key, inner]) => [...flatten(inner, [...path, key])]));
}
