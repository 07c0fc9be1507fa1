/**
 * The grammar of settings scripts, after the Starlark specification. INDENT and DEDENT are made by Indenter, which
 * stands between lexer and parser. Every rule can be decided by two tokens, so parsing takes linear time.
 */
grammar Starlark;

tokens { INDENT, DEDENT }

file: (NEWLINE | stmt)* EOF;

stmt: defStmt | ifStmt | forStmt | simpleStmt;
defStmt: 'def' NAME '(' params? ')' ':' suite;
params: param (',' param)* ','?;
param: NAME ('=' test)? | STAR NAME? | STARSTAR NAME;
ifStmt: 'if' test ':' suite ('elif' test ':' suite)* ('else' ':' suite)?;
forStmt: 'for' loopVars 'in' exprList ':' suite;
suite: simpleStmt | NEWLINE INDENT stmt+ DEDENT;
simpleStmt: smallStmt (';' smallStmt)* ';'? NEWLINE;
smallStmt
    : 'return' exprList?                                   # returnStmt
    | 'break'                                              # breakStmt
    | 'continue'                                           # continueStmt
    | 'pass'                                               # passStmt
    | 'load' '(' STRING (',' loadBinding)* ','? ')'        # loadStmt
    | exprList (op=('=' | AUGMENTED) exprList)?            # exprStmt
    ;
loadBinding: (NAME '=')? STRING;

exprList: test (',' test)* ','?;
test: 'lambda' params? ':' test | orTest ('if' orTest 'else' test)?;
orTest: andTest ('or' andTest)*;
andTest: notTest ('and' notTest)*;
notTest: 'not' notTest | comparison;
comparison: bitOr (compOp bitOr)?;
compOp: '==' | '!=' | '<' | '>' | '<=' | '>=' | 'in' | 'not' 'in';
bitOr: bitXor ('|' bitXor)*;
bitXor: bitAnd ('^' bitAnd)*;
bitAnd: shift ('&' shift)*;
shift: sum (('<<' | '>>') sum)*;
sum: product (('+' | '-') product)*;
product: unary ((STAR | '/' | '//' | '%') unary)*;
unary: ('+' | '-' | '~') unary | primary;
primary: operand suffix*;
suffix
    : '.' NAME                  # dotSuffix
    | '(' args? ')'             # callSuffix
    | '[' subscript ']'         # indexSuffix
    ;
args: arg (',' arg)* ','?;
arg: NAME '=' test | STAR test | STARSTAR test | test;
subscript: lower=test? ':' upper=test? (':' step=test?)? | exprList;
operand
    : NAME                                                           # nameOperand
    | INT                                                            # intOperand
    | FLOAT                                                          # floatOperand
    | STRING                                                         # stringOperand
    | '[' (test (compClause+ | (',' test)* ','?))? ']'               # listOperand
    | '{' (entry (compClause+ | (',' entry)* ','?))? '}'             # dictOperand
    | '(' exprList? ')'                                              # parenOperand
    ;
entry: test ':' test;
compClause: 'for' loopVars 'in' orTest | 'if' orTest;
loopVars: primary (',' primary)* ','?;

RESERVED
    : 'as' | 'assert' | 'async' | 'await' | 'class' | 'del' | 'except' | 'finally' | 'from' | 'global' | 'import'
    | 'is' | 'nonlocal' | 'raise' | 'try' | 'while' | 'with' | 'yield'
    ;
AUGMENTED: '+=' | '-=' | '*=' | '/=' | '//=' | '%=' | '&=' | '|=' | '^=' | '<<=' | '>>=';
STARSTAR: '**';
STAR: '*';
NAME: [a-zA-Z_] [a-zA-Z_0-9]*;
FLOAT: ([0-9]+ '.' [0-9]* EXPONENT? | '.' [0-9]+ EXPONENT? | [0-9]+ EXPONENT);
fragment EXPONENT: [eE] [+-]? [0-9]+;
INT: '0' [xX] [0-9a-fA-F]+ | '0' [oO] [0-7]+ | '0' [bB] [01]+ | [1-9] [0-9]* | '0';
STRING
    : [rR]? ('"""' ('\\' . | ~'\\')*? '"""' | '\'\'\'' ('\\' . | ~'\\')*? '\'\'\'')
    | [rR]? ('"' ('\\' . | ~["\\\r\n])* '"' | '\'' ('\\' . | ~['\\\r\n])* '\'')
    ;
NEWLINE: '\r'? '\n';
SPACE: [ \t]+;
CONTINUED: '\\' '\r'? '\n' -> skip;
COMMENT: '#' ~[\r\n]* -> skip;
UNKNOWN: .;
