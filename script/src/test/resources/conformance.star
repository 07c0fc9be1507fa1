# Chunks are separated by ---. Three hashes and a text behind a statement say that the chunk ends with an error that holds it.
eq(1 + 2 * 3 - 4 // 3, 6)
eq(-7 // 2, -4)
eq(-7 % 2, 1)
eq(7 % -2, -1)
eq(7.5 // 2, 3.0)
eq(1 / 2, 0.5)
eq(2147483647 * 2147483647 * 4, 18446744056529682436)
eq(9223372036854775807 + 1, 9223372036854775808)
eq(9223372036854775808 - 1, 9223372036854775807)
eq(-9223372036854775807 - 1, -9223372036854775808)
eq(0xff + 0o17 + 0b11, 273)
eq(1 << 40, 1099511627776)
eq(-5 >> 1, -3)
eq(6 & 3 | 8 ^ 1, 11)
eq(~0, -1)
eq(1 == 1.0, True)
eq(1 < 1.5, True)
eq([1, 2] + [3], [1, 2, 3])
eq((1,) * 3, (1, 1, 1))
eq("ab" * 2, "abab")
eq(not 1 == 2, True)
eq(None or "x", "x")
eq([] and 1, [])
eq("a" if 0 else "b", "b")
eq(1 in [1.0], True)
eq("k" not in {"k": 1}, False)
eq("bc" in "abcd", True)
eq(str(1e10), "10000000000.0")
eq(str(1.5e-7), "1.5e-07")
eq(float("inf") > 10, True)
---
eq("%s is %d, %r, %x%%" % ("a", 12, "q", 255), 'a is 12, "q", ff%')
eq("%.f" % 1 if False else "%f" % 1, "1.000000")
eq("{} {1}".replace("{1}", "x"), "{} x")
eq("{0}-{1}-{0}".format("a", "b"), "a-b-a")
eq("{}, {!r} {name} {{}}".format(1, "s", name = "n"), '1, "s" n {}')
eq("a\tb\x41\u00e9\101\
c", "a	bAéAc")
eq(r"\n" + '''a
b''', "\\na\nb")
eq("abc"[1], "b")
eq("abc"[-1], "c")
eq("abcdef"[1:4], "bcd")
eq("abcdef"[::-2], "fdb")
eq("abcdef"[-2:], "ef")
eq("abc"[5:], "")
eq("a,b,,c".split(","), ["a", "b", "", "c"])
eq("a,b,c".split(",", 1), ["a", "b,c"])
eq("  a  b c ".split(), ["a", "b", "c"])
eq(" a b c ".split(None, 1), ["a", "b c "])
eq("a.b.c".rsplit(".", 1), ["a.b", "c"])
eq(" a b  c ".rsplit(None, 1), [" a b", "c"])
eq("a=b=c".partition("="), ("a", "=", "b=c"))
eq("a=b=c".rpartition("="), ("a=b", "=", "c"))
eq("abc".partition("x"), ("abc", "", ""))
eq("abc".rpartition("x"), ("", "", "abc"))
eq("banana".count("an"), 2)
eq("banana".find("an", 2), 3)
eq("banana".rfind("an"), 3)
eq("banana".replace("a", "o", 2), "bonona")
eq("ab".replace("", "-"), "-a-b-")
eq("hello World".title(), "Hello World")
eq("hELLO".capitalize(), "Hello")
eq("xxabxx".strip("x"), "ab")
eq("\n a \t".strip(), "a")
eq("abc".startswith(("x", "ab")), True)
eq("/api/price".startswith("/api"), True)
eq("a.star".endswith(".star"), True)
eq("a\nb\r\nc".splitlines(), ["a", "b", "c"])
eq("a\nb\n".splitlines(True), ["a\n", "b\n"])
eq("-".join(["a", "b"]), "a-b")
eq("12".isdigit() and "ab1".isalnum() and "ab".islower() and "AB".isupper() and " ".isspace(), True)
eq("abc".removeprefix("a").removesuffix("c"), "b")
eq(list("abc".elems()), ["a", "b", "c"])
---
def f(a, b = 2, *rest, c, d = 4, **named):
    return (a, b, rest, c, d, named)

eq(f(1, c = 3), (1, 2, (), 3, 4, {}))
eq(f(1, 5, 6, 7, c = 3, e = 9), (1, 5, (6, 7), 3, 4, {"e": 9}))
eq(f(*[1, 2, 3], **{"c": 0}), (1, 2, (3,), 0, 4, {}))
add = lambda x, y = 1: x + y
eq(add(2), 3)
def outer(n):
    seen = []
    def inner(x):
        seen.append(x + n)
        return seen
    inner(1)
    return inner(2)
eq(outer(10), [11, 12])
def early(xs):
    for x in xs:
        if x == 2:
            continue
        elif x > 3:
            break
        for y in range(3):
            if y == x:
                return (x, y)
    return None
eq(early([5]), None)
eq(early([2, 1]), (1, 1))
---
a, (b, c) = 1, [2, 3]
eq((a, b, c), (1, 2, 3))
l = [1, 2, 3]
l[0] += 5
m = l
m += [4]
eq(l, [6, 2, 3, 4])
d = {"a": 1}
d["b"] = 2
d["a"] += 1
eq(d, {"b": 2, "a": 2})
eq(list(d), ["a", "b"])
eq(d | {"c": 3}, {"a": 2, "b": 2, "c": 3})
eq(d.items(), [("a", 2), ("b", 2)])
eq(d.pop("a"), 2)
eq(d.get("x", 7), 7)
eq(d.setdefault("y", 1), 1)
d.update([("z", 0)], w = 1)
eq(d.keys(), ["b", "y", "z", "w"])
eq(d.popitem(), ("b", 2))
eq([x * y for x in range(4) if x % 2 for y in [1, 10]], [1, 10, 3, 30])
eq({k: v for k, v in [("a", 1), ("b", 2)]}, {"a": 1, "b": 2})
x = 5
eq([x for x in range(2)], [0, 1])
eq(x, 5)
eq([i for i in range(10, 0, -3)], [10, 7, 4, 1])
eq(range(5)[1:3] == (1, 2), True)
l.insert(1, 0)
l.remove(3)
eq((l, l.index(2), l.pop(), l.pop(0)), ([0, 2], 2, 4, 6))
---
eq((abs(-3), min(3, 1, 2), max([1, 3], key = lambda v: -v)), (3, 1, 1))
eq(sorted([3, 1, 2], reverse = True), [3, 2, 1])
eq(sorted(["bb", "a"], key = len), ["a", "bb"])
eq((any([0, 1]), all([1, 0]), bool([]), len({1: 2})), (True, False, False, 1))
eq(list(enumerate(["a", "b"], 1)), [(1, "a"), (2, "b")])
eq(list(zip([1, 2], ["a", "b", "c"])), [(1, "a"), (2, "b")])
eq(reversed([1, 2]), [2, 1])
eq((int("0x1f", 16), int("-12"), int(3.9), int("0b11", 0)), (31, -12, 3, 3))
eq((str([1, "a", None, True, 1.0]), repr("a\"b\n")), ('[1, "a", None, True, 1.0]', '"a\\"b\\n"'))
eq([type(v) for v in [None, True, 1, 1.0, "", [], (), {}, range(1), len, lambda: 1]],
   ["NoneType", "bool", "int", "float", "string", "list", "tuple", "dict", "range", "builtin_function_or_method", "function"])
s = struct(a = 1, b = "x")
eq((s.a, getattr(s, "b"), getattr(s, "c", 0), hasattr(s, "a"), dir(s)), (1, "x", 0, True, ["a", "b"]))
eq(str(s), 'struct(a = 1, b = "x")')
eq(s == struct(a = 1, b = "x"), True)
eq({1: "a", 1.0: "a"}[1] if False else {(1, "k"): 2}[(1, "k")], 2)
eq(hash("abc") == hash("abc"), True)
---
x = 1 +
### syntax error at the end of the line
---
eq(y, 1)  ### name y is not defined
---
def f():
    return g()
def g():
    return 1 // 0  ### division by zero
f()
---
def f(n):
    return f(n - 1)  ### function f called recursively
f(3)
---
l = [1]
for v in l:
    l.append(v)  ### changed while it is iterated over
---
"a" + 1  ### unsupported operation: string + int
---
[1][3]  ### index 3 out of range
---
{"a": 1}["b"]  ### key "b" not found
---
{[]: 1}  ### unhashable type: list
---
a, b = 1, 2, 3  ### cannot unpack 3 values into 2
---
struct(a = 1).b  ### struct has no attribute b
---
class A:  ### 'class' is a reserved word
    pass
---
if True:
	pass  ### a tab in the indentation
---
return 1  ### return outside a function
---
break  ### break outside a loop
---
def f(a, a):  ### parameter a stands twice
    pass
---
f = 1
f()  ### int cannot be called
---
len(1, 2)  ### len: takes at most 1 argument
---
fail("no", 1)  ### no 1
---
x = [0] * 3000000 + [0] * 3000000  ### too large
---
def f():
    for i in range(100000):
        for j in range(100000):
            pass  ###
f()  ### stopped after
---
"%d" % "x"  ### %d needs a number
---
sorted([1, "a"])  ### cannot order
---
[x for x in 5]  ### int is not iterable
---
{"a": 1, "a": 2}  ### stands twice in the dict
---
if True:
    x = 1
  y = 2  ### unindent does not match
---
load("../x.star", "x")  ### load takes the name of a .star file in the same folder
---
"a\q"  ### unknown escape
---
x = x + 1  ### variable x is used before it is assigned
---
1 < 2 < 3  ### syntax error at '<'
