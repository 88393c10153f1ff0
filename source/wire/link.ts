/** Authenticated links between processes over TCP. */
import {type Observable} from 'rxjs';

/** Certificates of a link, as PEM text. */
export type LinkCertificates = {
	readonly certificate: string;
	readonly key: string;
	readonly authority: string;
};

/** What a process presents when it links to another. */
export type LinkIdentity = {
	readonly name: string;
	readonly sharedKey: string;
	readonly certificates: LinkCertificates | undefined;
};

/** One authenticated connection. */
export type Link<Message> = {
	/** Name that the peer gave. */
	readonly peer: string;
	readonly messages: Observable<Message>;
	/** Sends a message, or drops it when the connection is gone or its backlog is full. */
	send(message: unknown): void;
	close(): void;
};
