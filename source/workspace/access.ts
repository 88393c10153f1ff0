/**
 * Decides by its key whether a request may be served, and for which workspace. A request that still waits is checked once more before
 * it is sent, since its key may have been withdrawn meanwhile.
 */
import {type Workspace} from '../configuration/index.js';
import {getKeyDigest} from './key-digest.js';
import {type WorkspaceIndex} from './workspace-index.js';

/** Access of a request. */
export type Access
	/** The document has no list of workspaces, and the key header means nothing. */
	= | {readonly kind: 'open'}
		| {readonly kind: 'granted'; readonly workspace: Workspace; readonly digest: string}
	/** The route needs no key, and the request has none that is known. */
		| {readonly kind: 'anonymous'}
		| {readonly kind: 'denied'};

/** Request whose access is decided. */
export type AccessRequest = {
	readonly key: string | string[] | undefined;
	/** Whether the route of the request needs no key. */
	readonly isPublic: boolean;
};

/**
 * Decides about the access of a request.
 * @param index - Workspaces of the document in force, if it has a list of them.
 * @param request - Key and route of the request.
 */
export function getAccess(index: WorkspaceIndex | undefined, {key, isPublic}: AccessRequest): Access {
	if (index === undefined) {
		return {kind: 'open'};
	}

	const digest = typeof key === 'string' ? getKeyDigest(key) : undefined;
	const workspace = digest === undefined ? undefined : index.get(digest);
	if (digest !== undefined && workspace !== undefined) {
		return {kind: 'granted', workspace, digest};
	}

	return isPublic ? {kind: 'anonymous'} : {kind: 'denied'};
}

/**
 * Gets the access of a request that was decided earlier. One from before the document had workspaces is decided anew, so that its key is
 * not passed on to servers.
 * @param index - Workspaces of the document in force, if it has a list of them.
 * @param access - Access as it was decided.
 * @param request - Key and route of the request.
 */
export function updateAccess(index: WorkspaceIndex | undefined, access: Access, request: AccessRequest): Access {
	if (isAccessValid(index, access)) {
		return access;
	}

	return access.kind === 'open' ? getAccess(index, request) : {kind: 'denied'};
}

/**
 * Checks whether access that was decided before is still valid.
 * @param index - Workspaces of the document in force, if it has a list of them.
 * @param access - Access as it was decided.
 */
export function isAccessValid(index: WorkspaceIndex | undefined, access: Access): boolean {
	switch (access.kind) {
		case 'granted': {
			return index === undefined || index.get(access.digest)?.name === access.workspace.name;
		}

		case 'open': {
			return index === undefined;
		}

		case 'anonymous': {
			return true;
		}

		case 'denied': {
			return false;
		}
	}
}
