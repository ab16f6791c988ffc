import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { findDelimiter, judgeAnswerEnd, type AnswerDelimiter } from './answer-end.js';

const head = (headers: Record<string, string>, method = 'POST', status = 200) =>
  findDelimiter({ method, status, headers });

test("answer's end: a length or chunks state it, or that there is no body", () => {
  assert.equal(head({ 'content-length': '0' }), 'answer');
  assert.equal(head({ 'transfer-encoding': 'chunked' }), 'answer');
  assert.equal(head({ 'transfer-encoding': 'gzip, Chunked' }), 'answer');
  assert.equal(head({}, 'HEAD'), 'answer');
  assert.equal(head({}, 'POST', 204), 'answer');
  assert.equal(head({}, 'GET', 304), 'answer');
});

// The parser reads such a body to the end of the connection, whatever its length says.
test("answer's end: chunks that are not the last coding don't state it", () => {
  ['chunked, gzip', 'x-chunked', 'identity', ''].forEach((coding) => {
    const headers = { 'transfer-encoding': coding, 'content-length': '5' };
    assert.equal(head(headers), 'connection', coding);
  });
  assert.equal(head({}), 'connection');
});

// An orderly end, a peer that is lost and a question without an answer were each taken for the end of a body.
test("answer's end: an answer is whole only with a proof", () => {
  const facts = fc.record({
    isComplete: fc.boolean(),
    delimiter: fc.constantFrom<AnswerDelimiter>('answer', 'connection'),
    life: fc.constantFrom('alive' as const, 'ended' as const, 'unknown' as const),
  });
  fc.assert(
    fc.property(facts, (answer) => {
      const isProved =
        answer.isComplete && (answer.delimiter === 'answer' || answer.life === 'alive');
      assert.equal(judgeAnswerEnd(answer).kind, isProved ? 'whole' : 'unproved');
    }),
  );
});

test("answer's end: the server is asked only where its life decides", () => {
  const kinds = ([true, false] as const).map((isComplete) =>
    (['answer', 'connection'] as const).map(
      (delimiter) => judgeAnswerEnd({ isComplete, delimiter }).kind,
    ),
  );
  assert.deepEqual(kinds, [
    ['whole', 'askServer'],
    ['unproved', 'unproved'],
  ]);
});
