/** Tests that each rule of `checkHistory` reports a history that breaks it, and that only it does. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkHistory, type Execution, type History, type Submission } from '../tools/history.js';

const SUBMISSION: Submission = {
  id: 's1',
  sentAt: 100,
  answeredAt: 200,
  outcome: 'completed',
  key: 'k1',
  expected: 'own',
  received: 'own',
};
const EXECUTION: Execution = { submission: 's1', key: 'k1', startedAt: 150 };
const VALID_HISTORY: History = { submissions: [SUBMISSION], executions: [EXECUTION] };

function listBrokenRules(history: Partial<History>): string[] {
  return checkHistory({ ...VALID_HISTORY, ...history }).map((violation) => violation.rule);
}

test('history: a valid history breaks no rule', () => {
  assert.deepEqual(listBrokenRules({}), []);
});

test('history: each invalid history breaks only the rule that it is meant to break', () => {
  const refused: Submission = { ...SUBMISSION, outcome: 'refused', received: '' };
  const laterExecution: Execution = { submission: 's2', key: 'k1', startedAt: 250 };
  const executionWithoutKey: Execution = { submission: 's1', key: undefined, startedAt: 150 };
  const cases: [string, Partial<History>][] = [
    ['at most once', { executions: [EXECUTION, laterExecution] }],
    ['at most once', { submissions: [], executions: [executionWithoutKey, executionWithoutKey] }],
    ['refused did not run', { submissions: [refused] }],
    ['refused did not run', { submissions: [{ ...refused, sentAt: 300, id: 's3' }] }],
    ['completed did run', { executions: [] }],
    ['whole and own answer', { submissions: [{ ...SUBMISSION, received: 'ow' }] }],
    ['whole and own answer', { submissions: [{ ...SUBMISSION, received: 'other' }] }],
    [
      'right as far as it came',
      { submissions: [{ ...SUBMISSION, outcome: 'broken', received: 'x' }] },
    ],
    ['each layer once', { layerRuns: new Map([['r/1/0/0', 2]]) }],
    [
      'nothing new for the leaving',
      { arrivals: [{ server: 'e1', at: 3101 }], leavingSince: new Map([['e1', 100]]) },
    ],
    [
      'revisions only grow',
      {
        revisions: [
          { instance: 'a', team: 't', revision: 2 },
          { instance: 'a', team: 't', revision: 1 },
        ],
      },
    ],
  ];
  cases.forEach(([rule, history]) => assert.deepEqual(listBrokenRules(history), [rule]));
});

test('history: a key that is refused first and run by a later submission breaks no rule', () => {
  const refused: Submission = { ...SUBMISSION, id: 's0', outcome: 'refused', received: '' };
  assert.deepEqual(listBrokenRules({ submissions: [{ ...refused, sentAt: 10 }, SUBMISSION] }), []);
});
