// Grammar of scenario files: one statement per line; a comment begins with "#".
{{
	function flatten(list) {
		return list.filter(item => item !== undefined);
	}
}}

scenario = lines:line|.., "\n"| { return flatten(lines); }

line = _ statement:statement? _ comment? { return statement ? {...statement, line: location().start.line} : undefined; }

comment = "#" [^\n]*

statement
	= "seed" __ number:integer { return {kind: "seed", number}; }
	/ "control" __ number:integer { return {kind: "control", number}; }
	/ "entries" __ number:integer { return {kind: "entries", number}; }
	/ "zones" __ zones:names { return {kind: "zones", zones}; }
	/ "term" __ milliseconds:duration { return {kind: "term", milliseconds}; }
	/ "service" __ name:name options:option* { return {kind: "service", name, options}; }
	/ "start" { return {kind: "start"}; }
	/ "load" __ service:name __ "rate" __ rate:integer keyed:(__ "keyed")? { return {kind: "load", service, rate, isKeyed: keyed !== null}; }
	/ "quiet" { return {kind: "quiet"}; }
	/ "wait" __ milliseconds:duration { return {kind: "wait", milliseconds}; }
	/ verb:("kill" / "freeze" / "thaw" / "lose" / "restart" / "stop") __ target:process after:(__ "after" __ @duration)? { return {kind: "process", verb, target, downMilliseconds: after ?? 0}; }
	/ "cut" __ from:process __ way:("both" / "to" / "from") __ "control" { return {kind: "cut", from, way}; }
	/ "heal" { return {kind: "heal"}; }
	/ "zone" __ action:("out" / "in") __ zone:name { return {kind: "zone", action, zone}; }
	/ "server" __ verb:("leave" / "crash" / "restart" / "drain") __ server:name { return {kind: "server", verb, server}; }
	/ "withdraw" __ service:name __ "servers" __ number:integer __ "within" __ spreadMilliseconds:duration __ "stay" __ stayMilliseconds:duration { return {kind: "withdraw", service, number, spreadMilliseconds, stayMilliseconds}; }
	/ "pause" __ service:name __ "servers" __ number:integer __ "for" __ milliseconds:duration __ "during" __ totalMilliseconds:duration { return {kind: "pause", service, number, milliseconds, totalMilliseconds}; }
	/ "change" __ server:name __ options:option|1.., ""| { return {kind: "change", server, options}; }
	/ "race" __ "operators" __ operators:integer __ "changes" __ changes:integer { return {kind: "race", operators, changes}; }
	/ "resend" __ "crashing" __ service:name __ "times" __ times:integer { return {kind: "resendCrashing", service, times}; }
	/ "expect" __ "ready" __ "within" __ milliseconds:duration { return {kind: "expectReady", milliseconds}; }
	/ "expect" __ "warm" __ "within" __ milliseconds:duration { return {kind: "expectWarm", milliseconds}; }
	/ "expect" __ "members" __ number:integer __ "within" __ milliseconds:duration { return {kind: "expectMembers", number, milliseconds}; }
	/ "check" __ checks:names { return {kind: "check", checks}; }

option = _ name:$[a-zA-Z]+ "=" value:$[a-zA-Z0-9.\-]+ _ { return {name, value}; }

process
	= "leader" { return {kind: "leader"}; }
	/ "all" __ "control" { return {kind: "allControl"}; }
	/ "all" __ "entries" { return {kind: "allEntries"}; }
	/ "control" __ number:integer { return {kind: "control", number}; }
	/ "entry" __ number:integer { return {kind: "entry", number}; }

names = name|1.., __|
name = $[a-zA-Z0-9\-]+
integer = digits:$[0-9]+ { return Number(digits); }
duration = number:$([0-9]+ ("." [0-9]+)?) unit:("ms" / "s") { return Number(number) * (unit === "s" ? 1000 : 1); }
_ = [ \t]*
__ = [ \t]+
