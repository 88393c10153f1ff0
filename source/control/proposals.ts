/** The commands that a replica has proposed and whose outcome is not known yet, by the index of their entries. */
import {type CommandResult} from './state-machine.js';

const proposalTimeoutMilliseconds = 5000;

/** Outcome of a proposed command. */
export type ProposalOutcome
	= | {readonly kind: 'applied'; readonly result: CommandResult}
		| {readonly kind: 'notLeader'}
	/** It is not known whether the command has been or will be applied. */
		| {readonly kind: 'unknown'};

/** Place in the log that a proposed command gets if the replica leads. */
export type ProposalPlace = {readonly index: number; readonly term: number};

/** Commands whose outcome is not known yet. */
export type Proposals = {
	/** Adds a command; `settle` is called once with its outcome, which is unknown after a timeout. */
	add(place: ProposalPlace, settle: (outcome: ProposalOutcome) => void): void;
	/** Settles the command at an index because the replica does not lead. */
	reject(index: number): void;
	/** Settles the command at the place of an applied entry; one of another term has been replaced. */
	settle(place: ProposalPlace, result: CommandResult | undefined): void;
	/** Settles all commands as unknown. */
	close(): void;
};

type PendingProposal = {readonly term: number; readonly settle: (outcome: ProposalOutcome) => void; readonly timer: NodeJS.Timeout};

/** Creates an empty set of commands. */
export function createProposals(): Proposals {
	const pending = new Map<number, PendingProposal>();

	function end(index: number, getOutcome: (proposal: PendingProposal) => ProposalOutcome): void {
		const proposal = pending.get(index);
		if (proposal !== undefined) {
			pending.delete(index);
			clearTimeout(proposal.timer);
			proposal.settle(getOutcome(proposal));
		}
	}

	return {
		add({index, term}, settle) {
			const timer = setTimeout(() => {
				pending.delete(index);
				settle({kind: 'unknown'});
			}, proposalTimeoutMilliseconds);
			pending.set(index, {term, settle, timer});
		},
		reject(index) {
			end(index, () => ({kind: 'notLeader'}));
		},
		settle({index, term}, result) {
			end(index, proposal => proposal.term === term && result !== undefined ? {kind: 'applied', result} : {kind: 'unknown'});
		},
		close() {
			for (const proposal of pending.values()) {
				clearTimeout(proposal.timer);
				proposal.settle({kind: 'unknown'});
			}
		},
	};
}
