/** Checks that entries keep to what servers state in their responses: that they leave, and that they want a pause. */
import {type RequestRecord} from '../stand-in/index.js';
import {type CallerAttempt, type History, type Violation} from './history.js';

/** Time after a refusal with a pause within which requests may still be on their way. */
const pauseGraceMilliseconds = 500;

/** Number of requests of one entry that may reach a server after that time in its pause. */
const permittedRequestsInPause = 2;

/** Request at a server with the attempt of the caller that it belongs to. */
type AttributedRecord = {readonly record: RequestRecord; readonly attempt: CallerAttempt};

/** Gets the requests of known attempts by entry and server. */
function getRecordsByPath({callerAttempts, requestRecords}: History): ReadonlyMap<string, readonly AttributedRecord[]> {
	const attempts = new Map(callerAttempts.map(attempt => [attempt.sendId, attempt]));
	const byPath = new Map<string, AttributedRecord[]>();
	for (const record of requestRecords) {
		const attempt = attempts.get(record.sendId ?? '');
		if (attempt !== undefined) {
			const path = `${attempt.entry} ${record.server}`;
			const records = byPath.get(path) ?? [];
			records.push({record, attempt});
			byPath.set(path, records);
		}
	}

	return byPath;
}

/** Finds requests that callers sent after their entry had passed on a response in which the server says that it leaves. The server must not have restarted. */
export function checkLeaving(history: History): readonly Violation[] {
	return [...getRecordsByPath(history)].flatMap(([path, records]) => {
		const passedOn = records.filter(({record, attempt}) => record.withdrawal?.kind === 'leaving' && record.outcome === 'ran' && attempt.outcome === 'answered');
		const toldAt = Math.min(...passedOn.map(({attempt}) => attempt.endedAt));
		return records
			.filter(({attempt}) => attempt.sentAt > toldAt)
			.map(({attempt}) => `${path}: request ${attempt.sendId} was sent ${attempt.sentAt - toldAt} ms after the entry had passed on that the server leaves`);
	});
}

/** Finds servers that got more requests of an entry than the rule permits in a pause that they had asked it for. */
export function checkPauses(history: History): readonly Violation[] {
	return [...getRecordsByPath(history)].flatMap(([path, records]) => records.flatMap(({record: {endedAt, withdrawal}}) => {
		if (withdrawal?.kind !== 'pause') {
			return [];
		}

		const inPause = records.filter(({record}) => record.startedAt > endedAt + pauseGraceMilliseconds && record.startedAt < endedAt + withdrawal.milliseconds);
		if (inPause.length <= permittedRequestsInPause) {
			return [];
		}

		const times = inPause.map(({record, attempt}) => `${record.startedAt - endedAt} ms (sent by the caller ${attempt.sentAt - endedAt} ms)`);
		return [`${path}: ${inPause.length} requests in a pause of ${withdrawal.milliseconds} ms, after ${times.join(', ')}`];
	}));
}
